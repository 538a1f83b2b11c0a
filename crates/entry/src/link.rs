//! Shared handle of the network link, and the transfers of responses over it.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use medlarreel_core::entry::link::{self, Permit};
use medlarreel_core::time::Time;
use tokio::time::Sleep;

use crate::clock::Clock;

/// Shortest delay before a piece is requested again, which is the resolution of timers.
const MIN_DELAY: Duration = Duration::from_millis(1);

/// Network link of this machine.
#[derive(Clone, Debug)]
pub struct Link {
    clock: Clock,
    state: Rc<RefCell<link::Link>>,
}

/// Transfer of a response, which ends when it is dropped.
#[derive(Debug)]
pub struct Transfer {
    link: Link,
    transfer: link::Transfer,
    delay: Option<Pin<Box<Sleep>>>,
}

impl Link {
    /// Creates the state of a link that carries this number of bits per second.
    pub fn new(clock: Clock, bits_per_second: Option<f64>) -> Link {
        Link {
            clock,
            state: Rc::new(RefCell::new(link::Link::new(bits_per_second))),
        }
    }

    /// Opens the transfer of a response that is to come after about `run_time`.
    ///
    /// # Errors
    ///
    /// Returns the time until the link has room if the response can't be complete by the
    /// deadline.
    pub fn open(
        &self,
        route: &str,
        rank: u8,
        run_time: Duration,
        deadline: Time,
    ) -> Result<Transfer, Duration> {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let transfer = state.open(now, route, rank, now + run_time, deadline)?;
        Ok(Transfer {
            link: self.clone(),
            transfer,
            delay: None,
        })
    }

    /// Records that bytes are written without a permit.
    pub fn record_write(&self, bytes: usize) {
        let now = self.clock.now();
        self.state.borrow_mut().record_write(now, bytes);
    }

    /// Bytes of large responses that are expected or left to be written.
    pub fn pending(&self) -> usize {
        self.state.borrow().pending()
    }
}

impl Transfer {
    /// Records the size of the response, which is written from now on.
    pub fn begin(&self, route: &str, bytes: usize) {
        let now = self.link.clock.now();
        let mut state = self.link.state.borrow_mut();
        state.begin(now, self.transfer, route, bytes);
    }

    /// Waits until a piece of `bytes` is to be written.
    pub fn poll_permit(&mut self, context: &mut Context<'_>, bytes: usize) -> Poll<()> {
        loop {
            if let Some(delay) = &mut self.delay {
                ready!(delay.as_mut().poll(context));
                self.delay = None;
            }
            let now = self.link.clock.now();
            let mut state = self.link.state.borrow_mut();
            match state.request(now, self.transfer, bytes) {
                Permit::Granted => return Poll::Ready(()),
                Permit::Later(at) => {
                    let delay = at.since(now).max(MIN_DELAY);
                    self.delay = Some(Box::pin(tokio::time::sleep(delay)));
                }
            }
        }
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.link.state.borrow_mut().close(self.transfer);
    }
}
