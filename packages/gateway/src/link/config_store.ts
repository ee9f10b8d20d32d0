import type {PublishedDocument} from '@vanillamux/protocol';
import {Deferred, getLogger, monotonicMs, sleep} from '@vanillamux/shared';
import {RouteTable} from '../config/route_table.js';
import type {Dialect} from '../dialect/dialect.js';

const log = getLogger('config');

/** The configuration in force on this host; it never goes back. */
export class ConfigStore {
  private table?: RouteTable;
  private appliedMs = 0;
  private readonly firstApplied = new Deferred<void>();

  constructor(private readonly dialect: Dialect) {}

  /** The configuration in force, if there is one. */
  get current(): RouteTable | undefined {
    return this.table;
  }

  /** Version in force; -1 before the first. */
  get version(): number {
    return this.table?.config.version ?? -1;
  }

  /** Time since the configuration came into force; 0 before the first. */
  get ageMs(): number {
    return this.table ? monotonicMs() - this.appliedMs : 0;
  }

  /** Waits until there is a configuration, at most `timeoutMs`. */
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

  /** Puts a document in force if its version is higher. */
  apply(document: PublishedDocument): void {
    if (document.version <= this.version) return;
    const config = this.dialect.readConfig(document.text);
    if (!config.ok) {
      log.error('An accepted configuration cannot be read; keeping the last.', {
        version: document.version,
        reason: config.error.message,
        field: config.error.field,
      });
      return;
    }
    this.table = new RouteTable(config.value);
    this.appliedMs = monotonicMs();
    this.firstApplied.resolve();
    log.info('Configuration in force.', {
      version: document.version,
      routes: config.value.routes.length,
      services: config.value.services.length,
      workspaces: config.value.workspaces.length,
    });
  }
}
