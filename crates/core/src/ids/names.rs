use std::borrow::Borrow;
use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(CompactString);

        impl $name {
            /// Creates the name from text.
            #[must_use]
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(CompactString::from(text.as_ref()))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

text_name!(
    /// Name of a pool of instances.
    PoolName
);
text_name!(
    /// Name of a team, a branch or workspace that submits jobs.
    TeamName
);
text_name!(
    /// Name of a queue that callers submit to.
    QueueName
);
text_name!(
    /// Name of an instance on the platform.
    InstanceName
);
text_name!(
    /// Name of an availability zone.
    ZoneName
);
text_name!(
    /// Name of a rack within an availability zone.
    RackName
);
text_name!(
    /// Name of the machine image that an instance runs.
    ImageName
);
text_name!(
    /// Name of a maintenance wave.
    WaveName
);
text_name!(
    /// Public part of a team key. An id is never reused for another key.
    KeyId
);
text_name!(
    /// Identifier of a caller's request, echoed in the response.
    RequestId
);
