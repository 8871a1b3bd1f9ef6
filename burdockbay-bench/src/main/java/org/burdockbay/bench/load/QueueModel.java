package org.burdockbay.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Response times that queues without any cost of their own give on the same arrivals: the central
 * single queue over all slots (the ideal), no wait at all, and separate queues.
 */
public final class QueueModel {

  private QueueModel() {}

  /** Returns the response time of each job with one queue over all slots, in milliseconds. */
  public static List<Double> centralQueue(List<Arrival> arrivals, int slots) {
    return separateQueues(arrivals, slots, 1);
  }

  /** Returns the response time of each job if every task started at once, in milliseconds. */
  public static List<Double> withoutQueueing(List<Arrival> arrivals) {
    return arrivals.stream()
        .map(arrival -> (double) arrival.taskRunMillis().stream().mapToInt(i -> i).max().orElse(0))
        .toList();
  }

  /** Returns the response time of each job with several queues that take jobs in turn. */
  public static List<Double> separateQueues(List<Arrival> arrivals, int slots, int queues) {
    List<PriorityQueue<Double>> free = new ArrayList<>();
    for (int i = 0; i < queues; i++) {
      PriorityQueue<Double> slotsOfQueue = new PriorityQueue<>();
      for (int s = 0; s < slots / queues; s++) {
        slotsOfQueue.add(0.0);
      }
      free.add(slotsOfQueue);
    }
    List<Double> responses = new ArrayList<>(arrivals.size());
    int next = 0;
    for (Arrival arrival : arrivals) {
      PriorityQueue<Double> slotsOfQueue = free.get(next++ % queues);
      double end = arrival.offsetMillis();
      for (int run : arrival.taskRunMillis()) {
        double start = Math.max(arrival.offsetMillis(), slotsOfQueue.remove());
        slotsOfQueue.add(start + run);
        end = Math.max(end, start + run);
      }
      responses.add(end - arrival.offsetMillis());
    }
    return responses;
  }
}
