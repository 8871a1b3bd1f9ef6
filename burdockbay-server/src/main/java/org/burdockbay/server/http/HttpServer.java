package org.burdockbay.server.http;

import io.javalin.Javalin;
import io.javalin.config.RoutesConfig;
import io.javalin.util.JavalinBindException;
import io.javalin.util.JavalinException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.limits.MemoryBudget;
import org.burdockbay.server.ServerException;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.settings.HostSettings;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.SecureRequestCustomizer;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.SslConnectionFactory;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server of a host: its routes, limits, and the mapping from errors to responses. */
public final class HttpServer implements AutoCloseable {

  private static final int MAX_THREADS = 24;
  private static final int MIN_THREADS = 4;
  private static final long NO_TIMEOUT_MILLIS = 0;

  /** Time without any byte after which a connection is closed, in milliseconds. */
  private static final long IDLE_TIMEOUT_MILLIS = 15_000;

  /** The part of the heap that the bodies of requests take at most, as a divisor. */
  private static final long MEMORY_DIVISOR = 8;

  /** Heap for each connection, in bytes. */
  private static final long HEAP_BYTES_PER_CONNECTION = 48 * 1024;

  private final HostSettings settings;
  private final EventLog log;
  private final Responder responder;
  private final GracefulStopHandler gracefulStop;
  private final Javalin javalin;

  /**
   * Creates a server that is not started yet.
   *
   * @throws ServerException if the certificate or its key can't be used
   */
  public HttpServer(
      HostSettings settings, Responder responder, EventLog log, List<Consumer<RoutesConfig>> apis)
      throws ServerException {
    this.settings = settings;
    this.log = log;
    this.responder = responder;
    this.gracefulStop = new GracefulStopHandler(responder);
    Optional<SslContextFactory.Server> tls = sslContextFactory(settings);
    this.javalin =
        Javalin.create(
            config -> {
              config.startup.showJavalinBanner = false;
              config.http.maxRequestSize = settings.limits().maxBodyBytes();
              config.http.asyncTimeout = NO_TIMEOUT_MILLIS;
              config.jetty.threadPool = threadPool();
              config.jetty.modifyServer(this::limitServer);
              tls.ifPresent(
                  factory ->
                      config.jetty.addConnector(
                          (server, http) -> tlsConnector(server, http, factory, settings)));
              apis.forEach(api -> api.accept(config.routes));
              config.routes.exception(
                  ApiException.class,
                  (e, context) ->
                      responder.writeProblem(
                          context, e.kind(), e.getMessage(), e.retryAfterMillis(), ""));
              config.routes.exception(
                  BurdockbayException.class,
                  (e, context) -> responder.writeProblem(context, e.kind(), e.getMessage(), 0, ""));
              config.routes.exception(
                  RuntimeException.class,
                  (e, context) -> {
                    log.error("http-defect", "path=" + context.path(), e);
                    responder.writeProblem(
                        context, ErrorKind.INTERNAL, "a defect of this host", 0, "");
                  });
              config.routes.error(
                  404,
                  context -> {
                    String type = context.res().getContentType();
                    if (type == null || !type.startsWith(Responder.PROBLEM_JSON)) {
                      responder.writeProblem(
                          context, ErrorKind.NOT_FOUND, "no such resource", 0, "");
                    }
                  });
              config.routes.error(
                  413,
                  context ->
                      responder.writeProblem(
                          context,
                          ErrorKind.TOO_LARGE,
                          "the body is over " + settings.limits().maxBodyBytes() + " bytes",
                          0,
                          ""));
            });
  }

  /**
   * Starts to listen.
   *
   * @throws ServerException if the address can't be used
   */
  public void start() throws ServerException {
    try {
      if (settings.tls().isPresent()) {
        javalin.start();
      } else {
        javalin.start(settings.httpAddress().ip(), settings.httpAddress().port());
      }
    } catch (JavalinBindException e) {
      throw new ServerException(
          "http-address " + settings.httpAddress() + " can't be used: " + e.getMessage(), e);
    }
  }

  /**
   * Stops the server gracefully.
   *
   * <p>The server rejects requests that arrive on open connections, stops listening, and closes the
   * connections once all responses in flight are written.
   *
   * @param timeoutMillis time after which unfinished responses are aborted, in milliseconds
   */
  public void stop(long timeoutMillis) {
    javalin.jettyServer().server().setStopTimeout(timeoutMillis);
    gracefulStop.shutdown();
    try {
      javalin.stop();
    } catch (JavalinException e) {
      log.warn(
          "answers-cut-off",
          "patience-ms=" + timeoutMillis + " reason=" + EventLog.quote(e.getMessage()));
    }
  }

  @Override
  public void close() {
    javalin.stop();
  }

  /** Returns a pool whose handlers run on virtual threads, since they wait for bodies. */
  private static QueuedThreadPool threadPool() {
    QueuedThreadPool pool = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    pool.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
    return pool;
  }

  private void limitServer(Server server) {
    MemoryBudget memory = new MemoryBudget(Runtime.getRuntime().maxMemory() / MEMORY_DIVISOR);
    gracefulStop.setHandler(
        new RequestMemoryHandler(memory, settings.limits().maxBodyBytes(), responder));
    server.setHandler(gracefulStop);
    long connections = Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_CONNECTION;
    server.addBean(
        new NetworkConnectionLimit(
            Math.toIntExact(Math.min(Integer.MAX_VALUE, connections)), server));
    server.addEventListener(
        new LifeCycle.Listener() {
          @Override
          public void lifeCycleStarting(LifeCycle starting) {
            for (Connector connector : server.getConnectors()) {
              if (connector instanceof ServerConnector network) {
                network.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
              }
            }
          }
        });
  }

  private static Optional<SslContextFactory.Server> sslContextFactory(HostSettings settings)
      throws ServerException {
    if (settings.tls().isEmpty()) {
      return Optional.empty();
    }
    SslContextFactory.Server factory = new SslContextFactory.Server();
    factory.setKeyStore(PemKeyStore.read(settings.tls().get()));
    factory.setKeyStorePassword("");
    // Callers address hosts by IP address, so there is no server name to compare.
    factory.setSniRequired(false);
    return Optional.of(factory);
  }

  private static ServerConnector tlsConnector(
      Server server,
      HttpConfiguration http,
      SslContextFactory.Server factory,
      HostSettings settings) {
    HttpConfiguration secure = new HttpConfiguration(http);
    SecureRequestCustomizer customizer = new SecureRequestCustomizer();
    customizer.setSniHostCheck(false);
    secure.addCustomizer(customizer);
    ServerConnector connector =
        new ServerConnector(
            server,
            new SslConnectionFactory(factory, "http/1.1"),
            new HttpConnectionFactory(secure));
    connector.setHost(settings.httpAddress().ip());
    connector.setPort(settings.httpAddress().port());
    return connector;
  }
}
