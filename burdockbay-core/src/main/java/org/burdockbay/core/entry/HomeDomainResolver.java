package org.burdockbay.core.entry;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.zip.CRC32C;
import org.burdockbay.core.submission.SubmissionKey;

/**
 * Selects the failure domain that deduplicates a key, by rendezvous hashing (Thaler and Ravishankar
 * 1998) over the domains that have a live host.
 *
 * <p>All hosts that see the same domains select the same one without exchanging messages, and the
 * loss of a domain moves only its own keys.
 */
final class HomeDomainResolver {

  private HomeDomainResolver() {}

  static Optional<String> resolve(SubmissionKey key, Set<String> domains) {
    return domains.stream().max(Comparator.comparingLong((String domain) -> score(key, domain)));
  }

  private static long score(SubmissionKey key, String domain) {
    CRC32C crc = new CRC32C();
    crc.update((key + "@" + domain).getBytes(StandardCharsets.UTF_8));
    // CRC is linear, so for keys of one length the domains would always have the same order; mixing
    // the bits prevents this.
    long mixed = crc.getValue() * 0x9E3779B97F4A7C15L;
    mixed ^= mixed >>> 29;
    mixed *= 0xBF58476D1CE4E5B9L;
    return (mixed ^ (mixed >>> 32)) & Long.MAX_VALUE;
  }
}
