package org.burdockbay.core.configuration;

/**
 * A violation of the syntax or schema of a document.
 *
 * @param file name of the document
 * @param line line number, starting at 1; 0 if the problem concerns the whole document
 * @param field section and key that the problem concerns
 * @param message description of the violation and of the allowed values
 */
public record Problem(String file, int line, String field, String message) {

  @Override
  public String toString() {
    return file + ":" + line + ": " + field + ": " + message;
  }
}
