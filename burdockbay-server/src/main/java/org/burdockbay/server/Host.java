package org.burdockbay.server;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.config.RoutesConfig;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.server.host.ConfigurationKeeper;
import org.burdockbay.server.host.HostController;
import org.burdockbay.server.host.HostParts;
import org.burdockbay.server.http.CallerApi;
import org.burdockbay.server.http.HttpServer;
import org.burdockbay.server.http.OperatorApi;
import org.burdockbay.server.http.Responder;
import org.burdockbay.server.http.RunnerApi;

/** Runs one host from its start to its planned stop. */
@Singleton
public final class Host {

  /** Time for the load balancer to observe that the host is no longer ready. */
  private static final long READINESS_PROPAGATION_MILLIS = 500;

  private static final long POLL_INTERVAL_MILLIS = 50;

  /** Minimum time to write responses whose requests are no longer counted as in flight. */
  private static final long MIN_WRITE_TIMEOUT_MILLIS = 1_000;

  private final HostParts parts;
  private final ConfigurationKeeper configuration;
  private final Responder responder;
  private final ObjectMapper json;
  private final CountDownLatch drainRequested = new CountDownLatch(1);

  @Inject
  Host(HostParts parts, ConfigurationKeeper configuration, Responder responder, ObjectMapper json) {
    this.parts = parts;
    this.configuration = configuration;
    this.responder = responder;
    this.json = json;
  }

  /**
   * Serves requests until a planned stop has been requested and completed.
   *
   * @throws BurdockbayException if the host fails to start
   */
  public void serve() throws BurdockbayException {
    HostController controller = new HostController(parts, configuration);
    HttpServer http = createHttpServer(controller);
    ProcessGuard guard = new ProcessGuard(parts.log());
    guard.watchProgress("control", parts.thread()::progress);
    parts.transport().eventLoops().forEach(loop -> guard.watchExecutor("event-loop", loop));
    try {
      guard.start();
      controller.start();
      http.start();
      parts
          .log()
          .info(
              "host-started",
              "domain=" + parts.settings().domain() + " http=" + parts.settings().httpAddress());
      drainRequested.await();
      drain(controller, http);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      guard.stop();
      http.close();
      controller.close();
      parts.log().info("host-stopped", "");
    }
  }

  /** Requests a planned stop; returns immediately. */
  public void stop() {
    drainRequested.countDown();
  }

  private HttpServer createHttpServer(HostController controller) throws ServerException {
    Clock clock = parts.clock();
    CallerApi callers =
        new CallerApi(controller, parts.settings(), parts.metrics(), responder, json, clock);
    RunnerApi runners = new RunnerApi(controller, parts.settings(), responder, json);
    OperatorApi operators =
        new OperatorApi(controller, parts.settings(), parts.metrics(), responder, json, this::stop);
    return new HttpServer(
        parts.settings(),
        responder,
        parts.log(),
        List.<Consumer<RoutesConfig>>of(callers::register, runners::register, operators::register));
  }

  /** Drains the host, and waits until no request or job is in flight or the timeout expires. */
  private void drain(HostController controller, HttpServer http) throws InterruptedException {
    controller.drain();
    // Requests that the load balancer sends until it observes the lost readiness are served.
    Thread.sleep(READINESS_PROPAGATION_MILLIS);
    long deadline = parts.clock().millis() + parts.settings().drainTimeoutMillis();
    while (parts.clock().millis() < deadline && inFlightCount(controller) > 0) {
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    // A request is no longer counted once its outcome is known, before its response is written.
    http.stop(Math.max(MIN_WRITE_TIMEOUT_MILLIS, deadline - parts.clock().millis()));
  }

  private int inFlightCount(HostController controller) throws InterruptedException {
    try {
      return controller.inFlightCount().get(1, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      parts.log().error("drain-defect", "", e);
      return 0;
    }
  }
}
