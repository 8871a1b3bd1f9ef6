package org.burdockbay.core.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.testng.annotations.Test;

/** Tests the limits on work, and the budgets that keep them. */
public class WorkLimitsTest {

  private static final long HEAP_BYTES = 72 * 1024 * 1024;
  private static final WorkLimits LIMITS = WorkLimits.ofHeap(HEAP_BYTES);

  /** Guards against limits that the jobs of today's deployments or of the design size reach. */
  @Test
  public void leavesRoomForJobsOfDesignSize() {
    assertEquals(LIMITS.violation(request(Collections.nCopies(4, step(32, 1)))), Optional.empty());
    assertEquals(LIMITS.violation(request(List.of(step(3_000, 0)))), Optional.empty());
    WorkRequest design = request(List.of(step(120, 0)));
    assertTrue(LIMITS.hasRoom(WorkFootprint.ofDispatch(design) * 20, LIMITS.dispatchBytes() / 2));
  }

  /** Guards against jobs whose steps, tasks or dependencies together exceed the memory. */
  @Test
  public void rejectsExcessiveNumbersOfAllSteps() {
    assertTrue(LIMITS.violation(request(Collections.nCopies(10, step(100_000, 0)))).isPresent());
    assertTrue(LIMITS.violation(request(Collections.nCopies(7_000, step(1, 0)))).isPresent());
    assertTrue(LIMITS.violation(request(Collections.nCopies(100, step(1, 100)))).isPresent());
  }

  /** Guards against long texts and many steps that a footprint doesn't count. */
  @Test
  public void footprintCountsTextsStepsAndTasks() {
    WorkRequest small = request(List.of(step(1, 0)));
    WorkRequest tasks = request(List.of(step(1_000, 0)));
    assertTrue(WorkFootprint.ofRequest(request("y".repeat(10_000))) > 20_000);
    assertEquals(WorkFootprint.ofRequest(small), WorkFootprint.ofRequest(tasks));
    assertTrue(WorkFootprint.ofDispatch(tasks) - WorkFootprint.ofDispatch(small) > 300_000);
  }

  /** Guards against a budget that is exceeded or not given back. */
  @Test
  public void budgetRefusesBeyondItsLimit() {
    MemoryBudget budget = new MemoryBudget(100);
    assertTrue(budget.tryReserve(60));
    assertFalse(budget.tryReserve(41));
    assertFalse(budget.tryReserve(Long.MAX_VALUE));
    assertTrue(budget.tryReserve(40));
    budget.release(60);
    assertEquals(budget.usedBytes(), 40);
    assertEquals(budget.refusals(), 2);
  }

  private static WorkRequest request(String payload) {
    return new WorkRequest("w", "q", "s", payload, List.of(step(1, 0)), 0, 1, 1, 0, 1_000);
  }

  private static WorkRequest request(List<WorkStep> steps) {
    return new WorkRequest("w", "q", "s", "x", steps, 0, 1, 1, 0, 1_000);
  }

  private static WorkStep step(int tasks, int predecessors) {
    return new WorkStep(
        tasks,
        new TaskSize(1, 1, 0),
        100,
        Collections.nCopies(predecessors, 0),
        Optional.empty(),
        Optional.empty(),
        0);
  }
}
