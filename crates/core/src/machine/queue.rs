//! Queue of effects that the machine's parts have requested.

use std::collections::VecDeque;

use super::Action;
use crate::holder;
use crate::ids::Instance;
use crate::record::Body;
use crate::wire::Message;

/// Requested effects, in order.
#[derive(Debug, Default)]
pub(super) struct Queue(VecDeque<Effect>);

/// Effect that becomes an action, or is handled by the machine itself.
#[derive(Debug)]
pub(super) enum Effect {
    /// Action to return from `Machine::handle`.
    Act(Action),
    /// Message to an instance, which may be this one.
    Send(Instance, Message),
    /// Record to append.
    Propose(Body),
}

impl Queue {
    pub(super) fn next(&mut self) -> Option<Effect> {
        self.0.pop_front()
    }

    pub(super) fn push_action(&mut self, action: Action) {
        self.0.push_back(Effect::Act(action));
    }

    pub(super) fn send(&mut self, to: Instance, message: Message) {
        self.0.push_back(Effect::Send(to, message));
    }

    pub(super) fn send_optional(&mut self, to: Instance, message: Option<Message>) {
        self.0
            .extend(message.map(|message| Effect::Send(to, message)));
    }

    pub(super) fn send_all(&mut self, messages: Vec<(Instance, Message)>) {
        self.0.extend(
            messages
                .into_iter()
                .map(|(to, message)| Effect::Send(to, message)),
        );
    }

    pub(super) fn propose(&mut self, body: Body) {
        self.0.push_back(Effect::Propose(body));
    }

    pub(super) fn push_holder_actions(&mut self, actions: Vec<holder::Action>) {
        for action in actions {
            match action {
                holder::Action::Send(to, message) => self.send(to, message),
                holder::Action::Append(body) => self.propose(body),
            }
        }
    }
}
