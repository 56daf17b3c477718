//! Text encoding of the tasks' completion bits: four bits per hexadecimal digit, lowest task first.

const BITS_PER_DIGIT: usize = 4;

/// Returns the text encoding of `bits`.
pub fn pack_bits(bits: &[bool]) -> String {
    bits.chunks(BITS_PER_DIGIT).map(pack_digit).collect()
}

fn pack_digit(bits: &[bool]) -> char {
    let value = bits.iter().enumerate().fold(0u32, |value, (i, &bit)| value | (u32::from(bit) << i));
    char::from_digit(value, 16).unwrap_or('0')
}

/// Sets the bits that are set in `text`, and clears none. Characters that are not hexadecimal digits
/// count as zero, and bits beyond the end of `bits` are ignored.
pub fn merge_bits(bits: &mut [bool], text: &str) {
    for (digit, group) in text.chars().zip(bits.chunks_mut(BITS_PER_DIGIT)) {
        let value = digit.to_digit(16).unwrap_or(0);
        for (i, bit) in group.iter_mut().enumerate() {
            *bit |= value & (1 << i) != 0;
        }
    }
}
