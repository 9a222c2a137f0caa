use serde::{Deserialize, de::DeserializeOwned};
use serde_json::value::RawValue;

/// A JSON array whose elements are decoded one by one, so that one that cannot be decoded hides none of the others.
#[derive(Debug, Default, Deserialize)]
#[serde(transparent)]
pub struct JsonElements(Vec<Box<RawValue>>);

impl JsonElements {
    /// Returns the number of elements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no elements.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Decodes each element. An error comes with the text of its element.
    pub fn decode<T: DeserializeOwned>(
        &self,
    ) -> impl Iterator<Item = Result<T, (serde_json::Error, &str)>> {
        let texts = self.0.iter().map(|element| element.get());
        texts.map(|text| serde_json::from_str(text).map_err(|err| (err, text)))
    }
}
