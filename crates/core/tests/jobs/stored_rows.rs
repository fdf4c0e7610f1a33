use sesamedeal_core::jobs::JobRecord;

/// Maximum size of a row of the store, in bytes.
const ROW_BYTES: usize = 64 * 1024;

/// Returns a record as a new owner reads it back from the store. Fails if a row is too large.
pub fn read_back(record: &JobRecord) -> Result<JobRecord, String> {
    let mut read: Option<JobRecord> = None;
    for row in record.rows().iter() {
        let encoded = rmp_serde::to_vec_named(row).map_err(|error| error.to_string())?;
        if encoded.len() > ROW_BYTES {
            return Err(format!("a row of {} bytes", encoded.len()));
        }
        let row: JobRecord = rmp_serde::from_slice(&encoded).map_err(|error| error.to_string())?;
        match &mut read {
            Some(read) => read.add_row(row),
            None => {
                let stored_rows = 1;
                read = Some(JobRecord { stored_rows, ..row });
            }
        }
    }
    read.ok_or_else(|| "no rows".to_owned())
}
