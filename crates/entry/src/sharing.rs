//! Division of the upstreams among the instances: which of them this instance prefers, and
//! how many connections it may have to each (core `subset` and `connection_share`).

use std::collections::BTreeMap;

use medlarreel_core::entry::connection_share::share;
use medlarreel_core::entry::subset::{MIN_SIZE, Party, preferred};
use medlarreel_core::ids::Upstream;

use crate::state::State;

/// Names and failure domains of the instances, and versions of the directory and of the
/// configuration.
type Basis = (Vec<(String, String)>, u64, u64);

/// Keeps the division up to date.
#[derive(Debug, Default)]
pub struct Division {
    basis: Option<Basis>,
}

impl Division {
    /// Divides the upstreams again if the instances, the upstreams or the configuration have
    /// changed.
    pub fn update(&mut self, state: &State) {
        let basis = read_basis(state);
        if self.basis.as_ref() == Some(&basis) {
            return;
        }
        divide(state, &basis.0);
        self.basis = Some(basis);
    }
}

fn read_basis(state: &State) -> Basis {
    let members = state.members.borrow();
    let named = members
        .iter()
        .map(|(name, member)| (name.clone(), member.domain.clone()));
    let directory = state.directory.borrow().version();
    let config = state.route_table.borrow().config().version;
    (named.collect(), directory, config)
}

fn divide(state: &State, others: &[(String, String)]) {
    let settings = state.settings.borrow();
    let directory = state.directory.borrow();
    let table = state.route_table.borrow();
    let own = Party {
        name: &settings.name,
        domain: &settings.domain,
    };
    let others: Vec<Party<'_>> = others
        .iter()
        .map(|(name, domain)| Party { name, domain })
        .collect();
    let mut services: BTreeMap<&str, Vec<(Upstream, Party<'_>)>> = BTreeMap::new();
    let mut shares = Vec::new();
    for (upstream, record) in directory.usable() {
        let registration = &record.registration;
        let Some(service) = table.service(&registration.service) else {
            continue;
        };
        shares.push((upstream, share(service.max_connections, others.len() + 1)));
        if !service.keyed {
            let party = Party {
                name: &registration.id,
                domain: &registration.domain,
            };
            let members = services.entry(&registration.service).or_default();
            members.push((upstream, party));
        }
    }
    let orders: Vec<Vec<Upstream>> = services
        .into_iter()
        .map(|(service, members)| {
            let parties: Vec<Party<'_>> = members.iter().map(|(_, party)| *party).collect();
            let chosen = preferred(own, &others, &parties, MIN_SIZE);
            let chosen: Vec<Upstream> = chosen.into_iter().map(|index| members[index].0).collect();
            tracing::info!(
                service,
                preferred = chosen.len(),
                upstreams = members.len(),
                instances = others.len() + 1,
                "upstreams divided"
            );
            chosen
        })
        .collect();
    let preferred = orders.iter().map(Vec::len).sum::<usize>();
    state.metrics.preferred_upstreams.set(preferred as i64);
    let mut queue = state.queue.borrow_mut();
    queue.set_preferred(&orders);
    queue.set_connections(shares.into_iter().collect());
}
