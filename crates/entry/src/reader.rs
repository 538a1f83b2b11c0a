//! Readers of the platform's store: configuration and registrations.

use std::rc::Rc;
use std::time::Duration;

use medlarreel_core::entry::directory::RETURN_GRACE;
use medlarreel_core::entry::routes::Table;
use medlarreel_core::time::Time;

use crate::error::Error;
use crate::platform::store::{Item, Read, Store};
use crate::platform::{config, registry};
use crate::state::State;

/// Time that a read waits for a new configuration. A connection that has gone
/// silent hides new configurations for about this time.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);

/// Time between reads of the registrations. A leaving upstream must be left alone
/// within seconds, and upstreams report about once a second.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(900);

/// Shortest time between two reads of the registrations.
const DIRECTORY_MIN: Duration = Duration::from_millis(150);

/// Pause after a failed call, so that an overloaded store is not pressed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Keeps the configuration up to date.
pub async fn follow_config(state: Rc<State>) {
    let address = state.settings.borrow().store;
    let mut store = Store::new(address);
    let mut from = None;
    loop {
        let read = config_step(&state, &mut store, from).await;
        noted(&state, "config", &read);
        match read {
            Ok(end) => from = end,
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Reads once; returns the position to read from next, `None` to start anew.
async fn config_step(
    state: &State,
    store: &mut Store,
    from: Option<u64>,
) -> Result<Option<u64>, Error> {
    let Some(from) = from else {
        let newest = store.newest(config::TOPIC).await?;
        apply_config(state, &newest.items);
        return Ok(Some(newest.end));
    };
    match store.read(config::TOPIC, from, CONFIG_WAIT).await? {
        Read::Records(items, end) => {
            apply_config(state, &items);
            Ok(Some(end))
        }
        Read::Trimmed => Ok(None),
    }
}

fn apply_config(state: &State, items: &[Item]) {
    let configs = items.iter().filter(|item| item.key == config::KEY);
    let Some(value) = configs.filter_map(|item| item.value.as_ref()).next_back() else {
        return;
    };
    match config::decode(value) {
        Ok(config) => {
            let current = state.table.borrow().config().version;
            if config.version <= current {
                return;
            }
            let (routes, version) = (config.routes.len(), config.version);
            tracing::info!(version, routes, before = current, "configuration in force");
            state.metrics.config.set(version as i64);
            *state.table.borrow_mut() = Rc::new(Table::new(config));
            state.split.borrow_mut().reset();
            state.pump();
        }
        Err(error) => tracing::error!(%error, "configuration can't be read, ignored"),
    }
}

/// Keeps the registrations up to date.
pub async fn follow_directory(state: Rc<State>) {
    let address = state.settings.borrow().store;
    let mut store = Store::new(address);
    let mut from = None;
    let mut since = state.clock.now();
    loop {
        let started = state.clock.now();
        let read = directory_step(&state, &mut store, &mut from, since).await;
        noted(&state, "directory", &read);
        match read {
            Ok(()) if from.is_some() => {
                since = started;
                rest(&state).await;
            }
            // The position is no longer kept, so everything is read anew.
            Ok(()) => {}
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Waits for the next read.
async fn rest(state: &State) {
    tokio::time::sleep(DIRECTORY_MIN).await;
    let waited = DIRECTORY_INTERVAL - DIRECTORY_MIN;
    tokio::select! {
        () = tokio::time::sleep(waited) => {}
        () = state.refresh.notified() => {}
    }
}

async fn directory_step(
    state: &State,
    store: &mut Store,
    from: &mut Option<u64>,
    since: Time,
) -> Result<(), Error> {
    let (items, whole, end) = match *from {
        None => {
            let newest = store.newest(registry::TOPIC).await?;
            (newest.items, true, newest.end)
        }
        Some(position) => match store
            .read(registry::TOPIC, position, Duration::ZERO)
            .await?
        {
            Read::Records(items, end) => (items, false, end),
            Read::Trimmed => {
                *from = None;
                return Ok(());
            }
        },
    };
    state.store_answered(true);
    *from = Some(end);
    let now = state.clock.now();
    // What lapsed while the store was away gets time to come back.
    let regained = state.store.get().regained;
    let removal = regained.map_or(now, |at| now.max(at + RETURN_GRACE));
    if whole {
        let present: Vec<&str> = items
            .iter()
            .filter(|item| item.value.is_some())
            .map(|item| item.key.as_str())
            .collect();
        let mut directory = state.directory.borrow_mut();
        directory.retain(&present, since, removal);
    }
    apply_entries(state, &items, since, removal);
    state.listed.set(true);
    Ok(())
}

fn apply_entries(state: &State, items: &[Item], since: Time, at: Time) {
    let now = state.clock.now();
    let mut directory = state.directory.borrow_mut();
    for item in items {
        let Some(value) = &item.value else {
            tracing::info!(upstream = item.key, "registration removed");
            directory.remove(&item.key, since, at);
            continue;
        };
        let Some(entry) = registry::decode(&item.key, value) else {
            tracing::debug!(upstream = item.key, "registration can't be read, ignored");
            continue;
        };
        let (id, draining) = (entry.id.clone(), entry.draining);
        let (service, born) = (entry.service.clone(), entry.born);
        if directory.apply(now, since, entry) {
            tracing::info!(upstream = id, service, born, draining, "upstream changed");
        }
    }
    drop(directory);
    state.expire();
    state.pump();
}

fn noted<T>(state: &State, kind: &'static str, read: &Result<T, Error>) {
    match read {
        Ok(_) => {
            state.metrics.call(kind, "done");
            state.store_answered(true);
        }
        Err(error) => {
            state.metrics.call(kind, "failed");
            tracing::debug!(kind, %error, "store not read");
            state.store_answered(false);
        }
    }
}
