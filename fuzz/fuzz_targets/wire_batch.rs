#![no_main]
//! A frame on the simulator's wire.

libfuzzer_sys::fuzz_target!(|frame: &[u8]| {
    let _ = cherryusher_drill::wire::Decoder::default().batch(frame);
});
