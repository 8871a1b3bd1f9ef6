package org.burdockbay.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Computes the response times of queues without overhead for given arrivals: a single central queue
 * over all slots (the ideal), no queueing at all, and separate queues.
 */
public final class QueueModel {

  private QueueModel() {}

  /** Returns the response time of each job with one queue over all slots, in milliseconds. */
  public static List<Double> centralQueue(List<Arrival> arrivals, int slots) {
    return separateQueues(arrivals, slots, 1);
  }

  /** Returns the response time of each job if every task starts on arrival, in milliseconds. */
  public static List<Double> withoutQueueing(List<Arrival> arrivals) {
    return arrivals.stream()
        .map(arrival -> (double) arrival.taskRunMillis().stream().mapToInt(i -> i).max().orElse(0))
        .toList();
  }

  /**
   * Returns the response time of each job with several queues, in milliseconds. The slots are
   * divided evenly, and the jobs are assigned to the queues in turn.
   */
  public static List<Double> separateQueues(List<Arrival> arrivals, int slots, int queues) {
    List<PriorityQueue<Double>> slotsFreeAt = new ArrayList<>();
    for (int i = 0; i < queues; i++) {
      PriorityQueue<Double> queueSlots = new PriorityQueue<>();
      for (int s = 0; s < slots / queues; s++) {
        queueSlots.add(0.0);
      }
      slotsFreeAt.add(queueSlots);
    }
    List<Double> responseMillis = new ArrayList<>(arrivals.size());
    int nextQueue = 0;
    for (Arrival arrival : arrivals) {
      PriorityQueue<Double> queueSlots = slotsFreeAt.get(nextQueue++ % queues);
      double end = arrival.offsetMillis();
      for (int runMillis : arrival.taskRunMillis()) {
        double start = Math.max(arrival.offsetMillis(), queueSlots.remove());
        queueSlots.add(start + runMillis);
        end = Math.max(end, start + runMillis);
      }
      responseMillis.add(end - arrival.offsetMillis());
    }
    return responseMillis;
  }
}
