use super::{compress, decompress};

#[test]
fn compressed_content_comes_back_and_is_shorter() {
    let content = r#"{"name":"r","host":"h.example","path-prefix":"/a/"},"#.repeat(300);
    let compressed = compress(content.as_bytes());
    assert!(compressed.len() * 10 < content.len());
    assert_eq!(decompress(&compressed).expect("it was compressed here"), content.as_bytes());
    assert!(decompress("?").is_err());
}
