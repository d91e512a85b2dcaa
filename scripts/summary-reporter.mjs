/** A Jest reporter that closes the run with one plain line of totals. */
export default class SummaryReporter {
  onRunComplete(_contexts, results) {
    const { numPassedTests, numFailedTests, numPendingTests } = results;
    const failed = numFailedTests + results.numRuntimeErrorTestSuites;
    console.log(
      `Tests: ${numPassedTests} passed, ${failed} failed, ${numPendingTests} skipped`,
    );
  }
}
