import {ControlClient} from '@vanillamux/control';
import type {EntryRouter} from '@vanillamux/entry';
import {RpcClient} from '@vanillamux/rpc';
import {
  verifyChain,
  type ChainCorruption,
  type Announcement,
  type RecordEntry,
} from '@vanillamux/protocol';
import type {Address, Result} from '@vanillamux/shared';
import type {OperatorSettings} from './operator_settings.js';

const MAX_VERIFIED_ENTRIES_PER_HOST = 10_000;

/** Selects entries of the record. */
export interface RecordQuery {
  readonly requestId?: string;
  readonly workspace?: string;
  readonly kind?: RecordEntry['kind'];
  readonly idempotencyKey?: string;
  readonly limit?: number;
}

/** The record as far as the reachable hosts hold it. */
export interface CollectedRecord {
  readonly entries: RecordEntry[];
  /** Control hosts whose part is missing. */
  readonly missingHosts: Address[];
}

/** An operator's connections to the system. */
export class OperatorSession {
  readonly control: ControlClient;
  readonly entryClients: Array<RpcClient<EntryRouter>>;

  constructor(readonly settings: OperatorSettings) {
    this.control = new ControlClient(settings.control);
    this.entryClients = settings.entries.map(
      address => new RpcClient<EntryRouter>({address}),
    );
  }

  /** Joins the record of all control hosts, in the order of time. */
  async collectRecord(query: RecordQuery): Promise<CollectedRecord> {
    const results = await this.control.callAll((api, signal) =>
      api.record.query.query(query, {signal}),
    );
    const found = results.flatMap(({result}) =>
      result.ok ? result.value : [],
    );
    const unique = new Map(
      found.map(entry => [`${entry.chain}#${entry.sequence}`, entry]),
    );
    return {
      entries: [...unique.values()].sort((a, b) => (a.at < b.at ? -1 : 1)),
      missingHosts: results
        .filter(({result}) => !result.ok)
        .map(({address}) => address),
    };
  }

  /** Collects every chain and checks it. */
  async verifyRecord(): Promise<{
    readonly chains: number;
    readonly entries: number;
    readonly corruptions: ChainCorruption[];
    readonly missingHosts: Address[];
  }> {
    const {entries, missingHosts: missingHosts} = await this.collectRecord({
      limit: MAX_VERIFIED_ENTRIES_PER_HOST,
    });
    const chains = new Map<string, RecordEntry[]>();
    for (const entry of entries) {
      const chain = chains.get(entry.chain) ?? [];
      chain.push(entry);
      chains.set(entry.chain, chain);
    }
    const corruptions = [...chains.values()].flatMap(chain =>
      verifyChain(chain),
    );
    return {
      chains: chains.size,
      entries: entries.length,
      corruptions: corruptions,
      missingHosts: missingHosts,
    };
  }

  /** The backend servers that the reachable entry hosts know, each once. */
  async collectBackends(): Promise<Announcement[]> {
    const results = await this.callEntryHosts<Announcement[]>((api, signal) =>
      api.backends.query(undefined, {signal}),
    );
    const backendById = new Map<string, Announcement>();
    for (const {result} of results) {
      for (const backend of result.ok ? result.value : []) {
        backendById.set(backend.id, backend);
      }
    }
    return [...backendById.values()];
  }

  /** Calls every entry host. */
  async callEntryHosts<T>(
    call: Parameters<RpcClient<EntryRouter>['call']>[0],
  ): Promise<Array<{readonly address: Address; readonly result: Result<T>}>> {
    return Promise.all(
      this.entryClients.map(async client => ({
        address: client.address,
        result: (await client.call(call)) as Result<T>,
      })),
    );
  }

  close(): void {
    this.control.close();
    for (const client of this.entryClients) client.close();
  }
}
