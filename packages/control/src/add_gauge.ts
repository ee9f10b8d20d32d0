import {Gauge, type Registry} from 'prom-client';

/** Adds a gauge whose value is read when metrics are collected. */
export function addGauge(
  registry: Registry,
  name: string,
  help: string,
  read: () => number,
): void {
  new Gauge({
    name,
    help,
    registers: [registry],
    collect() {
      this.set(read());
    },
  });
}
