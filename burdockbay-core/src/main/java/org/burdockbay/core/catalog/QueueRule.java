package org.burdockbay.core.catalog;

/**
 * A queue and the rules for matching and dispatching its requests.
 *
 * @param name name of the queue
 * @param hostName virtual host that a request must name; case is ignored
 * @param pathPrefix prefix that the path of a request must have
 * @param service service whose upstreams run the tasks
 * @param priority priority class; 0 is the highest
 * @param maxAttempts number of failed attempts after which a task fails
 * @param stretch factor on the duration of the longest chain of steps, for the latency target
 * @param targetMillis time added to that product, in milliseconds
 * @param timeoutMillis time after which a request times out, in milliseconds
 * @param restricted whether an external service decides which upstreams may run a step
 * @param share weight among the queues that compete for scarce capacity; over 0
 */
public record QueueRule(
    String name,
    String hostName,
    String pathPrefix,
    String service,
    int priority,
    int maxAttempts,
    double stretch,
    long targetMillis,
    long timeoutMillis,
    boolean restricted,
    double share) {

  /** The share of a queue that states none. */
  public static final double DEFAULT_SHARE = 1;

  /** Creates a queue with the default share. */
  public QueueRule(
      String name,
      String hostName,
      String pathPrefix,
      String service,
      int priority,
      int maxAttempts,
      double stretch,
      long targetMillis,
      long timeoutMillis,
      boolean restricted) {
    this(
        name,
        hostName,
        pathPrefix,
        service,
        priority,
        maxAttempts,
        stretch,
        targetMillis,
        timeoutMillis,
        restricted,
        DEFAULT_SHARE);
  }
}
