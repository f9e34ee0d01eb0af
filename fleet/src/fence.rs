//! The receiving side of fencing: a receiver rejects every token smaller than the highest one it has seen.

use crate::{Resource, Token};
use std::collections::BTreeMap;

/// The highest fencing token seen for each resource.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct FencingTokens {
    highest: BTreeMap<Resource, Token>,
}

/// Maximum number of resources remembered. Beyond it the resource with the smallest token is dropped: tokens increase
/// across all resources, so it has been unused for the longest time.
const MAX_RESOURCES: usize = 8192;

impl FencingTokens {
    /// Whether an operation under this token may pass. Remembers the token if it is the highest so far.
    pub fn admits(&mut self, resource: &Resource, token: Token) -> bool {
        if let Some(highest) = self.highest.get_mut(resource) {
            let passes = token >= *highest;
            *highest = (*highest).max(token);
            return passes;
        }
        if self.highest.len() >= MAX_RESOURCES {
            let oldest =
                self.highest.iter().min_by_key(|(_, token)| **token).map(|(resource, _)| resource.clone());
            if let Some(resource) = oldest {
                self.highest.remove(&resource);
            }
        }
        self.highest.insert(resource.clone(), token);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_smaller_token_is_rejected_for_its_resource_only() {
        let (a, b) = (Resource::new("a").expect("a name"), Resource::new("b").expect("a name"));
        let mut tokens = FencingTokens::default();
        assert!(tokens.admits(&a, 4) && tokens.admits(&a, 4) && tokens.admits(&a, 6));
        assert!(!tokens.admits(&a, 5) && tokens.admits(&b, 5) && tokens.admits(&a, 6));
    }

    #[test]
    fn only_the_oldest_resource_is_dropped() {
        let mut tokens = FencingTokens::default();
        let name = |i| Resource::new(format!("t{i}")).expect("a name");
        (0..MAX_RESOURCES as u64 + 1).for_each(|i| assert!(tokens.admits(&name(i), i + 1)));
        assert_eq!(tokens.highest.len(), MAX_RESOURCES);
        assert!(!tokens.admits(&name(MAX_RESOURCES as u64), 1));
    }
}
