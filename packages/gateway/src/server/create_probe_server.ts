import {createServer, type Server} from 'node:http';
import type {GatewayMetrics} from './gateway_metrics.js';

const METRICS_PATH = '/metrics';

/** Options of `createProbeServer`. */
export interface ProbeServerOptions {
  readonly readinessPath: string;
  readonly isReady: () => boolean;
  readonly metrics: GatewayMetrics;
}

/** Creates the server that load balancers and metric collectors ask. */
export function createProbeServer(options: ProbeServerOptions): Server {
  const {readinessPath, isReady, metrics} = options;
  return createServer((req, res) => {
    if (req.url === readinessPath) {
      const ready = isReady();
      res.writeHead(ready ? 200 : 503).end(ready ? 'ready\n' : 'not ready\n');
    } else if (req.url === METRICS_PATH) {
      void metrics.render().then(text => res.end(text));
    } else {
      res.writeHead(404).end('not found\n');
    }
  });
}
