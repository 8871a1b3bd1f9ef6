package org.burdockbay.server.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.burdockbay.core.configuration.ConfigurationException;
import org.burdockbay.core.configuration.DispatchConfiguration;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlReply;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.server.host.HostController;
import org.burdockbay.server.metrics.HostMetrics;
import org.burdockbay.server.metrics.MetricsTextFormat;
import org.burdockbay.server.settings.HostSettings;

/**
 * HTTP routes for operators: configuration, evacuations, status, planned stop, and metrics for
 * scraping.
 */
public final class OperatorApi {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final HostController controller;
  private final HostSettings settings;
  private final HostMetrics metrics;
  private final Responder responder;
  private final ObjectMapper json;
  private final Runnable startDrain;

  /**
   * Creates the API.
   *
   * @param startDrain starts a planned stop of the process
   */
  public OperatorApi(
      HostController controller,
      HostSettings settings,
      HostMetrics metrics,
      Responder responder,
      ObjectMapper json,
      Runnable startDrain) {
    this.controller = controller;
    this.settings = settings;
    this.metrics = metrics;
    this.responder = responder;
    this.json = json;
    this.startDrain = startDrain;
  }

  /** Adds the routes of this API. */
  public void register(RoutesConfig routes) {
    routes.get("/ready", this::ready);
    routes.get("/metrics", this::scrape);
    routes.get("/v1/operator/status", this::status);
    routes.get("/v1/operator/configuration", this::showConfiguration);
    routes.post("/v1/operator/configuration", this::applyConfiguration);
    routes.post("/v1/operator/configuration/check", this::checkConfiguration);
    routes.get("/v1/operator/history", this::history);
    routes.post("/v1/operator/evacuations/{domain}", context -> changeEvacuation(context, true));
    routes.delete("/v1/operator/evacuations/{domain}", context -> changeEvacuation(context, false));
    routes.post("/v1/operator/drain", this::drain);
  }

  private void ready(Context context) {
    boolean draining = controller.dispatcherView().draining();
    boolean configured = controller.configuration().version() > 0;
    boolean ready = configured && !draining && controller.isResponsive();
    context.status(ready ? 200 : 503).result(draining ? "draining" : ready ? "ok" : "not ready");
  }

  private void scrape(Context context) throws ApiException {
    Credentials.requireToken(context, settings.operatorToken());
    context
        .contentType("text/plain; version=0.0.4")
        .result(MetricsTextFormat.format(metrics.registry()));
  }

  private void status(Context context) throws ApiException {
    Credentials.requireToken(context, settings.operatorToken());
    context.future(
        () ->
            controller
                .report()
                .thenAccept(
                    report -> {
                      Map<String, Object> status = new LinkedHashMap<>();
                      status.put("report", report);
                      status.put("responseMillis", metrics.responseTimes());
                      responder.writeJson(context, 200, status);
                    }));
  }

  private void showConfiguration(Context context) throws ApiException {
    Credentials.requireToken(context, settings.operatorToken());
    DispatchConfiguration current = controller.configuration();
    responder.writeJson(context, 200, new Document(current.version(), current.text()));
  }

  private void checkConfiguration(Context context) throws ApiException {
    Credentials.requireToken(context, settings.operatorToken());
    validateConfiguration(readChange(context).text());
    context.status(204);
  }

  private void applyConfiguration(Context context) throws ApiException {
    Credentials.requireToken(context, settings.operatorToken());
    Change change = readChange(context);
    validateConfiguration(change.text());
    if (change.changeId() == null || !change.changeId().matches("[\\x21-\\x7e]{1,100}")) {
      throw new ApiException(
          ErrorKind.BAD_REQUEST, "field 'changeId' is not 1 to 100 printable characters");
    }
    String operator = change.operator() == null ? "" : change.operator();
    CompletableFuture<ControlReply> reply =
        controller.applyConfiguration(
            new ControlCommand.ApplyConfiguration(
                change.changeId(), operator, change.expectedVersion(), change.text()));
    context.future(() -> reply.thenAccept(answer -> writeReply(context, answer)));
  }

  private void changeEvacuation(Context context, boolean evacuated) throws ApiException {
    Credentials.requireToken(context, settings.operatorToken());
    String domain = context.pathParam("domain");
    if (!settings.domainByHost().containsValue(domain)) {
      throw new ApiException(ErrorKind.NOT_FOUND, "there is no failure domain '" + domain + "'");
    }
    CompletableFuture<ControlReply> reply = controller.changeEvacuation(domain, evacuated);
    context.future(() -> reply.thenAccept(answer -> writeReply(context, answer)));
  }

  private void writeReply(Context context, ControlReply reply) {
    switch (reply) {
      case ControlReply.Accepted accepted ->
          responder.writeJson(context, 200, Map.of("version", accepted.version()));
      case ControlReply.VersionConflict conflict ->
          responder.writeProblem(
              context,
              ErrorKind.VERSION_CONFLICT,
              "the current version is " + conflict.currentVersion(),
              0,
              "");
      case ControlReply.Unavailable unavailable ->
          responder.writeProblem(
              context,
              ErrorKind.UNAVAILABLE,
              "no quorum answered; send the same change again to learn the outcome",
              RETRY_AFTER_MILLIS,
              "");
      case ControlReply.LedgerResult ledger ->
          responder.writeProblem(context, ErrorKind.INTERNAL, "an answer of the ledger", 0, "");
      case ControlReply.CatalogContent catalog ->
          responder.writeProblem(context, ErrorKind.INTERNAL, "an answer about the catalog", 0, "");
    }
  }

  private void history(Context context) throws ApiException {
    Credentials.requireToken(context, settings.operatorToken());
    context.future(
        () ->
            controller
                .configurationHistory()
                .thenAccept(versions -> responder.writeJson(context, 200, versions)));
  }

  private void drain(Context context) throws ApiException {
    Credentials.requireToken(context, settings.operatorToken());
    startDrain.run();
    context.status(202);
  }

  private Change readChange(Context context) throws ApiException {
    Change change;
    try {
      change = json.readValue(context.body(), Change.class);
    } catch (JsonProcessingException e) {
      throw new ApiException(ErrorKind.BAD_REQUEST, "not a change: " + e.getOriginalMessage());
    }
    if (change == null || change.text() == null) {
      throw new ApiException(ErrorKind.BAD_REQUEST, "field 'text' is missing");
    }
    return change;
  }

  private static void validateConfiguration(String text) throws ApiException {
    try {
      DispatchConfiguration.parse("document", 1, text);
    } catch (ConfigurationException e) {
      throw new ApiException(ErrorKind.INVALID_CONFIGURATION, e.getMessage());
    }
  }

  /** A version of the configuration document. */
  public record Document(long version, String text) {}

  /** A change of the configuration, sent by an operator. */
  public record Change(String text, long expectedVersion, String changeId, String operator) {}
}
