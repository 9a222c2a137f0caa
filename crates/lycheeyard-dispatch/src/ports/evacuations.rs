use lycheeyard_protocol::DataCentreId;

/// The keys in the store with which operators request that data centres are evacuated. A request is in force while its key
/// exists, whatever its value.
pub trait EvacuationFormat: Clone + Send + Sync + 'static {
    /// Returns the prefix of the keys.
    fn prefix(&self) -> &str;

    /// Returns the data centre that a key names; `None` if it does not name one.
    fn parse_key(&self, key: &str) -> Option<DataCentreId>;
}
