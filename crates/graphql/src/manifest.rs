//! The operator's manifest of documents that clients request by name.

use std::collections::HashMap;

use serde::Deserialize;

/// Document texts by name, read from an Apollo client's manifest, or from an object of names and texts as
/// Relay's compiler writes it.
///
/// ```
/// let relay = dunelink_graphql::DocumentManifest::from_json(r#"{"7f3a": "query A { a }"}"#)?;
/// let apollo = dunelink_graphql::DocumentManifest::from_json(r#"{
///     "format": "apollo-persisted-query-manifest", "version": 1,
///     "operations": [{"id": "7f3a", "name": "A", "type": "query", "body": "query A { a }"}]
/// }"#)?;
/// assert_eq!((relay.get("7f3a"), relay.len()), (apollo.get("7f3a"), 1));
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DocumentManifest(HashMap<String, String>);

#[derive(Deserialize)]
#[serde(untagged)]
enum Manifest {
    Apollo(ApolloManifest),
    Plain(HashMap<String, String>),
}

#[derive(Deserialize)]
struct ApolloManifest {
    #[serde(rename = "format")]
    _format: ApolloFormat,
    operations: Vec<ApolloOperation>,
}

#[derive(Deserialize)]
enum ApolloFormat {
    #[serde(rename = "apollo-persisted-query-manifest")]
    Manifest,
}

#[derive(Deserialize)]
struct ApolloOperation {
    id: String,
    body: String,
}

impl DocumentManifest {
    /// Parses a manifest.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON, or in neither format.
    pub fn from_json(text: &str) -> Result<DocumentManifest, serde_json::Error> {
        let documents = match serde_json::from_str(text)? {
            Manifest::Apollo(apollo) => apollo.operations.into_iter().map(|o| (o.id, o.body)).collect(),
            Manifest::Plain(texts) => texts,
        };
        // Names can be hashes, which are compared in lower case.
        Ok(DocumentManifest(
            documents.into_iter().map(|(name, text)| (name.to_ascii_lowercase(), text)).collect(),
        ))
    }

    /// The text of the document with this name, in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// The names and texts of all documents.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, text)| (name.as_str(), text.as_str()))
    }

    /// The number of documents.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the manifest has no documents.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
