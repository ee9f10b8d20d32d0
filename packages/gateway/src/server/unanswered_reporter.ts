import type {IncomingMessage} from 'node:http';
import {getLogger, type UnansweredRequest} from '@vanillamux/shared';
import type {Dialect} from '../dialect/dialect.js';
import type {GatewayMetrics} from './gateway_metrics.js';

const log = getLogger('gateway');

/** Options of an `UnansweredReporter`. */
export interface UnansweredReporterOptions {
  readonly dialect: Dialect;
  readonly metrics: GatewayMetrics;
  readonly isDraining: () => boolean;
}

/** Reports requests that were read and got no complete response. */
export class UnansweredReporter {
  constructor(private readonly options: UnansweredReporterOptions) {}

  report({req, reason, ageMs, hasBegun}: UnansweredRequest): void {
    const {metrics, isDraining} = this.options;
    log.info('A request got no complete response.', {
      request: this.readRequestId(req),
      reason,
      ageMs: Math.round(ageMs),
      hasBegun,
      isDraining: isDraining(),
    });
    metrics.countUnanswered(reason);
  }

  /** Returns no id if the dialect is what failed. */
  private readRequestId({headers}: IncomingMessage): string | undefined {
    try {
      return this.options.dialect.readRequest(headers).requestId;
    } catch {
      return undefined;
    }
  }
}
