//! Merges the responses of several shards into their greatest records, compared byte by byte. Duplicates are
//! kept.

use bytes::{BufMut as _, Bytes, BytesMut};

/// Length of a record. A shorter remainder at the end of a part is ignored.
const RECORD_BYTES: usize = 16;

/// Returns the greatest `max_records` records of all parts, in descending order.
pub fn merge_top_k(parts: &[Bytes], max_records: usize) -> Bytes {
    let mut records: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    if records.len() > max_records {
        if max_records == 0 {
            return Bytes::new();
        }
        records.select_nth_unstable_by(max_records - 1, |a, b| b.cmp(a));
        records.truncate(max_records);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    let mut merged = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    records.iter().for_each(|record| merged.put_slice(record));
    merged.freeze()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a merge whose result differs from sorting all records and taking the first ones.
    #[test]
    fn the_result_equals_sorting_all_records() {
        for seed in 0..300 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let parts: Vec<Bytes> = (0..rng.usize(1..7))
                .map(|_| (0..rng.usize(0..200)).map(|_| rng.u8(0..2)).collect::<Vec<u8>>().into())
                .collect();
            let max_records = rng.usize(0..12);
            let mut all: Vec<Vec<u8>> = parts
                .iter()
                .flat_map(|p| p.chunks(16).filter(|c| c.len() == 16))
                .map(<[u8]>::to_vec)
                .collect();
            all.sort();
            all.reverse();
            all.truncate(max_records);
            assert_eq!(merge_top_k(&parts, max_records), all.concat());
        }
    }
}
