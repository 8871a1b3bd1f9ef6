package org.burdockbay.server.web;

/** A request and the means to respond to it. */
public interface WebExchange {

  /** Returns the request. */
  WebRequest request();

  /**
   * Releases the body and the headers of the request, once the handler has read them; without this
   * call they are kept until the response.
   */
  void releaseContent();

  /** Sends the response; only the first call has an effect. May be called on any thread. */
  void respond(WebResponse response);

  /**
   * Registers an action for the case that the connection closes before the response.
   *
   * <p>The action runs on the connection's thread, at most once.
   */
  void onAbandoned(Runnable action);
}
