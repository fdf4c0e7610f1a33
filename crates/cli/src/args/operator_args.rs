use std::net::SocketAddr;
use std::path::PathBuf;

/// Arguments that all operators' commands share.
#[derive(Debug)]
pub(crate) struct OperatorArgs {
    /// IP address and port of an entry instance.
    pub entry: SocketAddr,
    /// File with the operator key.
    pub operator_key_file: Option<PathBuf>,
    /// Name under which changes are recorded.
    pub author: String,
    /// Longest time to wait until a change is in force, in seconds.
    pub wait_s: u64,
}

/// Defines the arguments of an operators' command: its own fields and the shared ones. `argh`
/// has no means to include one set of options in another.
macro_rules! operator_command {
    (
        $(#[$attribute:meta])*
        $name:ident { $($own:tt)* }
    ) => {
        #[derive(Debug, argh::FromArgs)]
        $(#[$attribute])*
        pub(crate) struct $name {
            $($own)*
            /// IP address and port of an entry instance (default 127.0.0.1:8080)
            #[argh(option, default = "crate::args::default_entry()")]
            pub entry: std::net::SocketAddr,
            /// file with the operator key
            #[argh(option)]
            pub operator_key_file: Option<std::path::PathBuf>,
            /// name under which changes are recorded (default operator)
            #[argh(option, default = "String::from(\"operator\")")]
            pub author: String,
            /// longest time to wait until a change is in force, in seconds (default 30)
            #[argh(option, default = "30")]
            pub wait_s: u64,
            /// print JSON
            #[argh(switch)]
            pub json: bool,
        }

        impl $name {
            /// The shared arguments.
            pub(crate) fn operator(&self) -> $crate::args::OperatorArgs {
                $crate::args::OperatorArgs {
                    entry: self.entry,
                    operator_key_file: self.operator_key_file.clone(),
                    author: self.author.clone(),
                    wait_s: self.wait_s,
                }
            }
        }
    };
}

pub(crate) use operator_command;
