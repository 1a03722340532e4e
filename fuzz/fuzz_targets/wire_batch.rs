#![no_main]
//! A frame of the simulator's wire protocol: the decoder does not panic on any bytes.

libfuzzer_sys::fuzz_target!(|frame: &[u8]| {
    let _ = cherryusher_drill::wire::Decoder::default().batch(frame);
});
