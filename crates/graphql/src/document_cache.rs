//! DocumentManifest that were read before: clients send the same few again and again, and to parse one costs more than all else
//! that is done for a request.

use std::hash::RandomState;
use std::sync::Arc;

use quick_cache::Weighter;
use quick_cache::sync::{Cache, DefaultLifecycle};
use serde_json::{Map, Value};

use crate::document::Document;
use crate::error::Rejection;

/// What an entry takes beside its text, roughly.
const ENTRY: u64 = 512;

/// DocumentManifest that were read before, by their whole text: nobody can make another one pass for one of them. Bounded by
/// bytes; which ones are kept is up to `quick_cache` (S3-FIFO, after Yang et al., SOSP 2023).
pub struct DocumentCache(Option<Cache<Box<str>, Arc<Document>, ByText, RandomState>>);

#[derive(Clone)]
struct ByText;

impl Weighter<Box<str>, Arc<Document>> for ByText {
    fn weight(&self, text: &Box<str>, document: &Arc<Document>) -> u64 {
        ENTRY * document.operations.len() as u64 + text.len() as u64
    }
}

impl DocumentCache {
    /// Remembers about so many bytes of documents; none for 0.
    pub fn with_capacity(bytes: u64) -> DocumentCache {
        let items = usize::try_from(bytes / (2 * ENTRY)).unwrap_or(usize::MAX);
        // Clients choose the texts: a hash that they can't work out.
        let cache =
            || Cache::with(items.max(1), bytes, ByText, RandomState::new(), DefaultLifecycle::default());
        DocumentCache((bytes > 0).then(cache))
    }

    /// The document of this text, as it was read before or by `read` now. One whose work follows from variables is
    /// read again where these have other values.
    pub(crate) fn get(
        &self,
        text: &str,
        variables: &Map<String, Value>,
        read: impl FnOnce() -> Result<Document, Rejection>,
    ) -> Result<Arc<Document>, Rejection> {
        let Some(cache) = &self.0 else { return read().map(Arc::new) };
        if let Some(known) = cache.get(text).filter(|known| known.fits(variables)) {
            return Ok(known);
        }
        let document = Arc::new(read()?);
        cache.insert(text.into(), document.clone());
        Ok(document)
    }

    /// How many it remembers.
    pub fn len(&self) -> usize {
        self.0.as_ref().map_or(0, Cache::len)
    }

    /// Whether it remembers none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A reader's copy begins anew.
impl Clone for DocumentCache {
    fn clone(&self) -> DocumentCache {
        DocumentCache::with_capacity(self.0.as_ref().map_or(0, Cache::capacity))
    }
}

impl Default for DocumentCache {
    fn default() -> DocumentCache {
        DocumentCache::with_capacity(0)
    }
}

/// What is remembered makes no difference to what is read.
impl PartialEq for DocumentCache {
    fn eq(&self, _: &DocumentCache) -> bool {
        true
    }
}

impl std::fmt::Debug for DocumentCache {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DocumentCache").field("len", &self.len()).finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests {
    use std::cell::Cell;

    use serde_json::json;

    use super::*;
    use crate::limits::{Limits, Weights};

    #[test]
    fn a_document_is_read_once_for_each_value_that_its_work_follows_from() {
        let (known, reads) = (DocumentCache::with_capacity(1 << 20), Cell::new(0));
        let get = |text: &str, variables: Value| {
            let variables = variables.as_object().unwrap();
            let read = || {
                reads.set(reads.get() + 1);
                Document::parse(text, variables, &Limits::default(), &Weights::default())
            };
            let document = known.get(text, variables, read).unwrap();
            (document.operations[0].work.as_micros(), reads.get())
        };
        assert_eq!(get("{ a }", json!({})), (220, 1));
        assert_eq!(get("{ a }", json!({"n": 7})), (220, 1));
        let list = "query($n: Int = 3) { a(first: $n, of: $m) { b } }";
        assert_eq!(get(list, json!({"n": 2, "m": 1})), (260, 2));
        assert_eq!(get(list, json!({"n": 2, "m": 2})), (260, 2), "m is no length");
        assert_eq!(get(list, json!({"n": 4})), (300, 3));
        assert_eq!(get(list, json!({})), (280, 4));
        assert_eq!(get(list, json!({"m": 1})), (280, 4), "both go by the default");
        assert_eq!(get("{ a } ", json!({})), (220, 5), "another text");
    }

    #[test]
    fn what_it_holds_is_bounded() {
        let known = DocumentCache::with_capacity(64 * 1024);
        for number in 0..10_000 {
            let text = format!("{{ a{number} }}");
            let read = || Document::parse(&text, &Map::new(), &Limits::default(), &Weights::default());
            known.get(&text, &Map::new(), read).unwrap();
        }
        assert!(!known.is_empty() && known.len() <= 64 * 1024 / ENTRY as usize, "{known:?}");
    }
}
