package org.burdockbay.server.http;

import io.javalin.http.Context;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.burdockbay.core.configuration.CallerRule;
import org.burdockbay.core.configuration.DispatchConfiguration;
import org.burdockbay.core.error.ErrorKind;

/** Checks bearer credentials with constant-time comparisons. */
public final class Credentials {

  private static final String BEARER_PREFIX = "Bearer ";

  private Credentials() {}

  /** Returns the SHA-256 hash of a text in lower-case hexadecimal. */
  public static String sha256(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the JDK doesn't provide SHA-256", e);
    }
  }

  /**
   * Returns the caller whose credential the request presents.
   *
   * @throws ApiException if the credential is missing or unknown
   */
  static CallerRule authenticateCaller(Context context, DispatchConfiguration configuration)
      throws ApiException {
    byte[] given = sha256(bearerToken(context)).getBytes(StandardCharsets.US_ASCII);
    CallerRule match = null;
    // Compares every caller, so that the response time doesn't reveal which one matched.
    for (CallerRule caller : configuration.callers().values()) {
      byte[] expected = caller.credentialSha256().getBytes(StandardCharsets.US_ASCII);
      if (MessageDigest.isEqual(given, expected)) {
        match = caller;
      }
    }
    if (match == null) {
      throw new ApiException(ErrorKind.UNAUTHENTICATED, "the credential is not known");
    }
    return match;
  }

  /**
   * Requires that the request presents the given token.
   *
   * @throws ApiException if the token is missing or differs
   */
  static void requireToken(Context context, String expectedToken) throws ApiException {
    byte[] given = bearerToken(context).getBytes(StandardCharsets.UTF_8);
    if (!MessageDigest.isEqual(given, expectedToken.getBytes(StandardCharsets.UTF_8))) {
      throw new ApiException(ErrorKind.UNAUTHENTICATED, "the credential is not known");
    }
  }

  private static String bearerToken(Context context) throws ApiException {
    String header = context.header("Authorization");
    if (header == null || !header.startsWith(BEARER_PREFIX)) {
      throw new ApiException(
          ErrorKind.UNAUTHENTICATED, "the header 'Authorization: Bearer ...' is missing");
    }
    return header.substring(BEARER_PREFIX.length()).strip();
  }
}
