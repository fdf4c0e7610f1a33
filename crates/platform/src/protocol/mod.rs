//! Messages of the platform's HTTP interface.

mod instance_list;
mod table_messages;

pub use instance_list::{InstanceList, ListedState, PlatformInstance};
pub use table_messages::{
    ReadReply, ReadRequest, RowCondition, RowPut, ScanRequest, TableRow, WriteReply, WriteRequest,
};
