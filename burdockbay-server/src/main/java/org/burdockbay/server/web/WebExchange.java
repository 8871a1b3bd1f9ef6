package org.burdockbay.server.web;

/** One request whose answer is still owed. */
public interface WebExchange {

  /** Returns the request. */
  WebRequest request();

  /** Answers; only the first call has an effect. Safe on any thread. */
  void respond(WebResponse reply);

  /**
   * Registers what is to be done if the caller closes the connection before it is answered; called
   * on the connection's thread, at most once.
   */
  void onAbandoned(Runnable action);
}
