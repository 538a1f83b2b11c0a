//! Steps that the parts of a machine asked for, in order.

use std::collections::VecDeque;

use super::Action;
use crate::holder;
use crate::ids::Instance;
use crate::record::Body;
use crate::wire::Message;

/// Steps that the parts asked for.
#[derive(Debug, Default)]
pub(super) struct Queue(VecDeque<Step>);

#[derive(Debug)]
pub(super) enum Step {
    Act(Action),
    Send(Instance, Message),
    Propose(Body),
}

impl Queue {
    pub(super) fn next(&mut self) -> Option<Step> {
        self.0.pop_front()
    }

    pub(super) fn act(&mut self, action: Action) {
        self.0.push_back(Step::Act(action));
    }

    pub(super) fn send(&mut self, to: Instance, message: Message) {
        self.0.push_back(Step::Send(to, message));
    }

    pub(super) fn send_some(&mut self, to: Instance, message: Option<Message>) {
        self.0
            .extend(message.map(|message| Step::Send(to, message)));
    }

    pub(super) fn send_all(&mut self, messages: Vec<(Instance, Message)>) {
        self.0.extend(
            messages
                .into_iter()
                .map(|(to, message)| Step::Send(to, message)),
        );
    }

    pub(super) fn propose(&mut self, body: Body) {
        self.0.push_back(Step::Propose(body));
    }

    pub(super) fn perform(&mut self, actions: Vec<holder::Action>) {
        for action in actions {
            match action {
                holder::Action::Send(to, message) => self.send(to, message),
                holder::Action::Append(body) => self.propose(body),
            }
        }
    }
}
