import type {PublishedDocument} from '@vanillamux/protocol';
import {Deferred, getLogger, monotonicMs, sleep} from '@vanillamux/shared';
import {RouteTable} from '../config/route_table.js';
import type {Dialect} from '../dialect/dialect.js';

const log = getLogger('config');

/** Holds the current configuration; its version never decreases. */
export class ConfigStore {
  private table?: RouteTable;
  private appliedMs = 0;
  private readonly firstApplied = new Deferred<void>();

  constructor(private readonly dialect: Dialect) {}

  /** The current configuration, if there is one. */
  get current(): RouteTable | undefined {
    return this.table;
  }

  /** Version of the current configuration; -1 before the first. */
  get version(): number {
    return this.table?.config.version ?? -1;
  }

  /** Time since the current configuration was applied; 0 before the first. */
  get ageMs(): number {
    return this.table ? monotonicMs() - this.appliedMs : 0;
  }

  /** Waits for the first configuration, at most `timeoutMs`. */
  async waitForFirst(timeoutMs: number): Promise<RouteTable | undefined> {
    if (this.table) return this.table;
    const timer = new AbortController();
    await Promise.race([
      this.firstApplied.promise,
      sleep(timeoutMs, timer.signal),
    ]);
    timer.abort();
    return this.table;
  }

  /** Applies a document if its version is higher than the current one. */
  apply(document: PublishedDocument): void {
    if (document.version <= this.version) return;
    const config = this.dialect.readConfig(document.text);
    if (!config.ok) {
      log.error(
        'Could not decode the configuration; keeping the current one.',
        {
          version: document.version,
          reason: config.error.message,
          field: config.error.field,
        },
      );
      return;
    }
    this.table = new RouteTable(config.value);
    this.appliedMs = monotonicMs();
    this.firstApplied.resolve();
    log.info('Applied a configuration.', {
      version: document.version,
      routes: config.value.routes.length,
      services: config.value.services.length,
      workspaces: config.value.workspaces?.length ?? 0,
      requiresKeys: this.table.requiresKeys,
    });
  }
}
