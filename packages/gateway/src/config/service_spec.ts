import type {EngineSpec} from './engine_spec.js';

/** A group of interchangeable backend servers. */
export interface ServiceSpec {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one backend server accepts from all callers. */
  readonly maxConnections: number;
  /**
   * Requests a second that a cold backend server stands, from all hosts
   * together; not limited if left out or 0.
   */
  readonly coldRatePerS?: number;
  /** Present when the backend servers are model engines. */
  readonly engine?: EngineSpec;
}
