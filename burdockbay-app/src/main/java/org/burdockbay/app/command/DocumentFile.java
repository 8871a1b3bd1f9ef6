package org.burdockbay.app.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.burdockbay.core.configuration.DispatchConfiguration;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;

/** Reads configuration documents from files. */
final class DocumentFile {

  private DocumentFile() {}

  /**
   * Returns the text of a configuration document after validating it.
   *
   * @throws BurdockbayException if the file can't be read or the document is not valid
   */
  static String readValidated(Path file) throws BurdockbayException {
    String text = read(file);
    DispatchConfiguration.parse(file.toString(), 1, text);
    return text;
  }

  /**
   * Returns the text of a file.
   *
   * @throws BurdockbayException if the file can't be read
   */
  static String read(Path file) throws BurdockbayException {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new BurdockbayException(ErrorKind.BAD_REQUEST, file + ": can't be read: " + e, e);
    }
  }
}
