/** @fileoverview Tests of metrics and their Prometheus text. */

import test from 'ava';

import {createMetrics} from './logic.js';

const LINES: ReadonlyArray<{what: string; line: RegExp}> = [
  {
    what: 'the count of a latency',
    line: /^jackdawfall_run_seconds_count 100$/m,
  },
  {what: 'its sum', line: /^jackdawfall_run_seconds_sum 5\.05$/m},
  {what: 'its median', line: /_run_seconds\{quantile="0\.5"\} 0\.05\d*$/m},
  {
    what: 'its 99th percentile',
    line: /_run_seconds\{quantile="0\.99"\} 0\.099\d*$/m,
  },
  {
    what: 'its 99.9th percentile',
    line: /_run_seconds\{quantile="0\.999"\} 0\.1\d*$/m,
  },
  {what: 'its maximum', line: /^jackdawfall_run_seconds_max 0\.1\d*$/m},
  {
    what: 'a latency capped at the upper limit',
    line: /^jackdawfall_store_seconds_sum 600$/m,
  },
  {what: 'an empty latency', line: /^jackdawfall_queue_seconds_count 0$/m},
  {
    what: 'the lag of the loop',
    line: /^jackdawfall_loop_lag_seconds_max 0\.2/m,
  },
  {what: 'a counter', line: /^jackdawfall_links_opened_total 2$/m},
  {
    what: 'an escaped label value',
    line: /_failures_total\{kind="no-\\"owner"\} 1$/m,
  },
  {
    what: 'label values beyond the maximum number',
    line: /\{service="other"\} 36$/m,
  },
  {what: 'a gauge', line: /^jackdawfall_resident_bytes 7$/m},
];

for (const {what, line} of LINES) {
  test(`the rendered text contains ${what}`, t => {
    const metrics = createMetrics();
    for (let i = 1; i <= 100; i++) {
      metrics.record('run', i);
      metrics.count('requests', `service-${i}`);
    }
    metrics.record('loopLag', 200);
    metrics.record('store', 1e12);
    metrics.record('queue', Number.NaN);
    metrics.count('linksOpened', '', 2);
    metrics.count('failures', 'no-"owner');
    const gauge = {name: 'resident_bytes', help: 'Memory.', value: 7};
    t.regex(metrics.render([gauge]), line);
  });
}
