package org.burdockbay.server.transport;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.burdockbay.wire.proto.Wire;

/**
 * Proves to each other that both ends know the cluster's secret (HMAC-SHA-256 over both nonces).
 *
 * <p>It keeps strangers and hosts of other clusters out. It doesn't hide what is sent; where the
 * network between hosts isn't trusted, it has to be protected below.
 */
final class Handshake {

  static final int PROTOCOL_VERSION = 1;
  private static final int NONCE_BYTES = 16;

  private final TransportSettings settings;
  private final long incarnation;

  Handshake(TransportSettings settings, long incarnation) {
    this.settings = settings;
    this.incarnation = incarnation;
  }

  Wire.Hello hello() {
    byte[] nonce = new byte[NONCE_BYTES];
    if (!settings.secret().isEmpty()) {
      SecureRandomHolder.INSTANCE.nextBytes(nonce);
    }
    return Wire.Hello.newBuilder()
        .setProtocol(PROTOCOL_VERSION)
        .setCluster(settings.cluster())
        .setHost(settings.host())
        .setIncarnation(incarnation)
        .setNonce(ByteString.copyFrom(nonce))
        .build();
  }

  /** Returns why the other end is refused, or empty if its greeting is acceptable. */
  Optional<String> rejectionReason(Wire.Hello hello) {
    if (hello.getProtocol() != PROTOCOL_VERSION) {
      return Optional.of("protocol " + hello.getProtocol() + " instead of " + PROTOCOL_VERSION);
    }
    if (!hello.getCluster().equals(settings.cluster())) {
      return Optional.of("cluster '" + hello.getCluster() + "'");
    }
    if (hello.getHost().equals(settings.host()) || !settings.isKnownHost().test(hello.getHost())) {
      return Optional.of("host '" + hello.getHost() + "' is not among the peers");
    }
    return Optional.empty();
  }

  /** Returns the proof of the end that said {@code prover} to the end that said {@code other}. */
  Wire.Proof proof(Wire.Hello prover, Wire.Hello other) {
    if (settings.secret().isEmpty()) {
      // Without a secret there is nothing to prove; the network has to keep strangers out.
      return Wire.Proof.getDefaultInstance();
    }
    try {
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(settings.secret().getBytes(StandardCharsets.UTF_8), "HmacSHA256"));
      mac.update(prover.toByteArray());
      mac.update(other.toByteArray());
      return Wire.Proof.newBuilder().setMac(ByteString.copyFrom(mac.doFinal())).build();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("HmacSHA256 is part of every JDK", e);
    }
  }

  boolean isValidProof(Wire.Proof proof, Wire.Hello prover, Wire.Hello other) {
    return MessageDigest.isEqual(
        proof.getMac().toByteArray(), proof(prover, other).getMac().toByteArray());
  }

  /** Created at the first use, since seeding takes time that hosts without a secret don't need. */
  private static final class SecureRandomHolder {

    private static final SecureRandom INSTANCE = new SecureRandom();
  }
}
