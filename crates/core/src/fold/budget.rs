//! Division of the federation's budget between clubs.
//!
//! `reserved` is the number of slots that a club may still be using. A club whose
//! share shrinks keeps its reservation until its `Yield` record; a club whose share
//! grows gets only slots that no other club has reserved. The reservations
//! therefore never add up to more than the larger of the old and the new budget,
//! and to no more than the new budget once all clubs have yielded.

use super::State;
use crate::code::Code;
use crate::ids::{Club, Offset};
use crate::record::Author;

impl State {
    /// Slots that the club may use now.
    pub fn club_limit(&self, club: Club) -> u32 {
        self.club_share(club).min(self.club(club).reserved)
    }

    /// Whether the club has reserved more than its share under the preset in force.
    pub fn exceeds_share(&self, club: Club) -> bool {
        self.club(club).reserved > self.club_share(club)
    }

    fn club_share(&self, club: Club) -> u32 {
        let name = &self.club(club).name;
        self.active_preset()
            .map_or(0, |active| active.preset.club_slots(name))
    }

    pub(super) fn apply_yield(
        &mut self,
        offset: Offset,
        author: &Author,
        activation: u32,
    ) -> Result<(), Code> {
        let key = self.authorize(offset, author)?;
        if self
            .active_preset()
            .is_none_or(|active| active.count != activation)
        {
            return Err(Code::VersionConflict);
        }
        let limit = self.club_limit(key);
        let before = std::mem::replace(&mut self.clubs[usize::from(key.0)].reserved, limit);
        self.audit.record(
            offset,
            format!("budget of {}", author.club),
            "yielded",
            before,
            limit,
        );
        self.grow_reservations();
        Ok(())
    }

    /// Assigns unreserved slots to clubs that have reserved less than their share.
    pub(super) fn grow_reservations(&mut self) {
        let budget = self
            .active_preset()
            .map_or(0, |active| active.preset.budget);
        let used: u32 = self.clubs.iter().map(|club| club.reserved).sum();
        let mut free = budget.saturating_sub(used);
        for index in 0..self.clubs.len() {
            let share = self.club_share(Club(index as u16));
            let club = &mut self.clubs[index];
            let growth = share.saturating_sub(club.reserved).min(free);
            club.reserved += growth;
            free -= growth;
        }
    }
}
