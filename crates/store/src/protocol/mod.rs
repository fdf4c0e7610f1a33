//! Messages of the platform's HTTP interface.

mod instance_list;
mod object_list;
mod table_messages;

pub use instance_list::{InstanceList, ListedState, PlatformInstance};
pub use object_list::ObjectList;
pub use table_messages::{
    ReadReply, ReadRequest, RowCondition, RowPut, ScanRequest, TableRow, WriteReply, WriteRequest,
};
