use crate::JsonElements;
use lycheeyard_protocol::Instance;
use serde::Deserialize;
use std::collections::BTreeSet;
use tracing::warn;

/// The maximum length of a logged entry, in characters.
const MAX_LOGGED_CHARS: usize = 200;
/// The maximum number of entries of one list that are logged.
const MAX_LOGGED: usize = 100;

/// The answer to a request for the list, its entries undecoded; the counterpart of
/// [`ListReply`](lycheeyard_protocol::platform::ListReply).
#[derive(Debug, Deserialize)]
pub(super) struct ReceivedList {
    #[serde(default)]
    pub version: Option<u64>,
    #[serde(default)]
    pub instances: Option<JsonElements>,
}

/// The entries of the last list that could not be read, so that each is logged once and not with each list.
#[derive(Debug, Default)]
pub(super) struct OddInstances {
    entries: BTreeSet<String>,
}

impl OddInstances {
    /// Decodes the entries that can be read, and logs the others unless the last list had them too.
    pub fn decode(&mut self, elements: &JsonElements) -> Vec<Instance> {
        let mut odd = BTreeSet::new();
        let mut instances = Vec::with_capacity(elements.len());
        for element in elements.decode() {
            match element {
                Ok(instance) => instances.push(instance),
                Err((err, text)) if odd.len() < MAX_LOGGED => {
                    let entry: String = text.chars().take(MAX_LOGGED_CHARS).collect();
                    if !self.entries.contains(&entry) {
                        let err: String = err.to_string().chars().take(MAX_LOGGED_CHARS).collect();
                        warn!(
                            err,
                            entry, "list: an entry cannot be read; it is passed over"
                        );
                    }
                    odd.insert(entry);
                }
                Err(_) => {}
            }
        }
        self.entries = odd;
        instances
    }
}
