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
 * Authenticates both ends of a connection by the shared secret of the cluster.
 *
 * <p>Each end sends an HMAC-SHA-256 over the hello messages of both ends, which contain fresh
 * nonces. The handshake rejects unauthenticated hosts and hosts of other clusters, but doesn't
 * encrypt the traffic; an untrusted network needs encryption at a lower layer.
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

  /** Returns the hello message of this host, with a new nonce unless the secret is empty. */
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

  /** Returns the reason to reject the other end's hello message, or empty if it is acceptable. */
  Optional<String> rejectionReason(Wire.Hello hello) {
    if (hello.getProtocol() != PROTOCOL_VERSION) {
      return Optional.of(
          "protocol version " + hello.getProtocol() + " instead of " + PROTOCOL_VERSION);
    }
    if (!hello.getCluster().equals(settings.cluster())) {
      return Optional.of("different cluster '" + hello.getCluster() + "'");
    }
    if (hello.getHost().equals(settings.host()) || !settings.isKnownHost().test(hello.getHost())) {
      return Optional.of("host '" + hello.getHost() + "' is not among the peers");
    }
    return Optional.empty();
  }

  /**
   * Returns the proof that one end sends to the other.
   *
   * @param prover hello message of the end that proves itself
   * @param verifier hello message of the end that verifies the proof
   */
  Wire.Proof proof(Wire.Hello prover, Wire.Hello verifier) {
    if (settings.secret().isEmpty()) {
      // Authentication is disabled; access control is left to the network.
      return Wire.Proof.getDefaultInstance();
    }
    try {
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(settings.secret().getBytes(StandardCharsets.UTF_8), "HmacSHA256"));
      mac.update(prover.toByteArray());
      mac.update(verifier.toByteArray());
      return Wire.Proof.newBuilder().setMac(ByteString.copyFrom(mac.doFinal())).build();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the JDK doesn't provide HmacSHA256", e);
    }
  }

  /** Returns whether a proof is the one expected for the two hello messages, in constant time. */
  boolean isValidProof(Wire.Proof proof, Wire.Hello prover, Wire.Hello verifier) {
    return MessageDigest.isEqual(
        proof.getMac().toByteArray(), proof(prover, verifier).getMac().toByteArray());
  }

  /** Creates the random source on first use: hosts without a secret avoid the cost of seeding. */
  private static final class SecureRandomHolder {

    private static final SecureRandom INSTANCE = new SecureRandom();
  }
}
