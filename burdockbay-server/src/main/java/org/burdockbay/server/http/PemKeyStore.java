package org.burdockbay.server.http;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import org.burdockbay.server.ServerException;
import org.burdockbay.server.settings.HostSettings;

/** Reads a certificate chain and its private key from PEM files into an in-memory key store. */
final class PemKeyStore {

  private static final String ALIAS = "host";
  private static final char[] NO_PASSWORD = {};

  private PemKeyStore() {}

  /**
   * Reads the certificate chain and the private key.
   *
   * @throws ServerException if a file can't be used; the message names the file
   */
  static KeyStore read(HostSettings.TlsFiles files) throws ServerException {
    Certificate[] chain = readCertificates(files.certificate());
    PrivateKey key = readKey(files.key(), chain[0].getPublicKey().getAlgorithm());
    try {
      KeyStore store = KeyStore.getInstance("PKCS12");
      store.load(null, NO_PASSWORD);
      store.setKeyEntry(ALIAS, key, NO_PASSWORD, chain);
      return store;
    } catch (GeneralSecurityException | IOException e) {
      throw new ServerException("tls-key " + files.key() + " doesn't match the certificate", e);
    }
  }

  private static Certificate[] readCertificates(Path file) throws ServerException {
    try {
      byte[] bytes = Files.readAllBytes(file);
      Certificate[] chain =
          CertificateFactory.getInstance("X.509")
              .generateCertificates(new ByteArrayInputStream(bytes))
              .toArray(new Certificate[0]);
      if (chain.length == 0) {
        throw new ServerException("tls-certificate " + file + " contains no certificate");
      }
      return chain;
    } catch (IOException | GeneralSecurityException e) {
      throw new ServerException("tls-certificate " + file + " can't be read: " + e, e);
    }
  }

  private static PrivateKey readKey(Path file, String algorithm) throws ServerException {
    try {
      String text = Files.readString(file, StandardCharsets.US_ASCII);
      String body = text.replaceAll("-----[A-Z ]+-----", "").replaceAll("\\s", "");
      byte[] encoded = Base64.getDecoder().decode(body);
      return KeyFactory.getInstance(algorithm).generatePrivate(new PKCS8EncodedKeySpec(encoded));
    } catch (IOException | GeneralSecurityException | IllegalArgumentException e) {
      throw new ServerException(
          "tls-key " + file + " is not a PKCS #8 private key in PEM format: " + e, e);
    }
  }
}
