//! Follows the configuration.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::ConfigView;
use crate::port::{EntryDecoder, Range, Row, RowStore, StoreError};

/// Longest wait for a change in one call; with the time of a call it bounds the age of a confirmation.
const WAIT: Duration = Duration::from_millis(700);

/// Time beside the wait after which a feed counts as silent; on a store that is sixty times as slow as usual a call takes
/// about 250 ms.
const LATE: Duration = Duration::from_millis(350);

/// Pause after a failed call.
const RETRY: Duration = Duration::from_millis(120);

/// Follows the configuration for as long as the instance runs.
pub async fn follow_config<R, E>(rows: R, entries: E, view: Rc<ConfigView>)
where
    R: RowStore,
    E: EntryDecoder,
{
    let table = entries.config_table();
    let mut version = None;
    let mut lost = false;
    loop {
        let read = match version {
            None => rows
                .read_all(Range::all(table))
                .await
                .map(|page| (page.rows, page.version, page.clock_ms)),
            Some(after) => {
                let Ok(changed) = timeout(WAIT + LATE, rows.changes(table, after, WAIT)).await else {
                    // A feed may be silent while rows can be read.
                    version = None;
                    continue;
                };
                changed.map(|changes| (changes.rows, changes.version, changes.clock_ms))
            }
        };
        match read {
            Ok((changed, at, clock_ms)) => {
                if lost {
                    log::info!("the store answers again");
                    lost = false;
                }
                version = Some(at);
                take(&entries, &view, &changed);
                view.confirm(clock_ms);
            }
            Err(StoreError::HistoryGone) => version = None,
            Err(error) => {
                if !lost {
                    log::warn!(error:% = error, age_ms:? = view.age_ms(); "cannot follow the configuration");
                    lost = true;
                }
                sleep(RETRY).await;
            }
        }
    }
}

fn take<E>(entries: &E, view: &ConfigView, rows: &[Row])
where
    E: EntryDecoder,
{
    for row in rows {
        match entries.decode_config(row) {
            Ok(Some(config)) => view.update(config),
            Ok(None) => {}
            Err(error) => log::error!(key:% = row.key, error; "configuration is unreadable"),
        }
    }
}
