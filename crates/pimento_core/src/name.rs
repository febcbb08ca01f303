//! Validated names, with one type per kind of object.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, ops::Deref, str::FromStr, sync::Arc};

/// The maximum length of a name.
const MAX_LEN_BYTES: usize = 64;

/// The text is not a valid name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a name may not be empty")]
    Empty,
    /// The text is longer than names may be; the limit bounds state and metrics.
    #[error("a name may have {MAX_LEN_BYTES} bytes at most, not {0}")]
    TooLong(usize),
    /// The text has a character that is not safe in paths, headers and metric
    /// labels.
    #[error("a name may hold lower-case letters, digits, '-', '_' and '.', not {0:?}")]
    BadChar(char),
}

fn check(s: &str) -> Result<(), NameError> {
    if s.is_empty() {
        return Err(NameError::Empty);
    }
    if s.len() > MAX_LEN_BYTES {
        return Err(NameError::TooLong(s.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    match s.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(NameError::BadChar(c)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// Clones are cheap, since they share the text.
        #[derive(Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates and wraps a name.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] if the text is empty, too long or has a
            /// character that is not allowed in names.
            pub fn new(s: impl AsRef<str>) -> Result<Self, NameError> {
                let s = s.as_ref();
                check(s)?;
                Ok(Self(Arc::from(s)))
            }

            /// The text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(s: &str) -> Result<Self, NameError> {
                Self::new(s)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(s: String) -> Result<Self, NameError> {
                Self::new(s)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type! {
    /// The name of a VM that runs a process of the system.
    VmId
}
name_type! {
    /// The name of a failure domain.
    DomainId
}
name_type! {
    /// The name of a region, which holds one or more failure domains.
    RegionId
}
name_type! {
    /// The name of a service.
    ServiceId
}
name_type! {
    /// The name of a tenant, such as a member association.
    TenantId
}
name_type! {
    /// The name of a target.
    TargetId
}
