use super::{compress, decompress};

#[test]
fn compressed_content_is_shorter_and_decompresses_to_the_original() {
    let content = r#"{"name":"r","host":"h.example","path-prefix":"/a/"},"#.repeat(300);
    let compressed = compress(content.as_bytes());
    assert!(compressed.len() * 10 < content.len());
    assert_eq!(decompress(&compressed).expect("the text was produced by compress"), content.as_bytes());
    assert!(decompress("?").is_err());
}
