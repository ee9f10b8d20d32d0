import type {ConfigStore} from '../link/config_store.js';
import type {ClientRequest} from '../request/client_request.js';
import {allowedRegions} from './allowed_regions.js';

/** What the homes of a request depend on. */
export type HomeQuery = Pick<
  ClientRequest,
  'req' | 'metadata' | 'workspace' | 'regions'
>;

/** Options of a `HomePolicy`. */
export interface HomePolicyOptions {
  readonly configStore: Pick<ConfigStore, 'current'>;
  /** Region of each failure domain of the deployment. */
  readonly regionByFailureDomain: Readonly<Record<string, string>>;
}

/** Decides in which failure domains a request, and its body, may be. */
export class HomePolicy {
  constructor(private readonly options: HomePolicyOptions) {}

  /**
   * Whether a request may be sent to a host in a failure domain. One whose
   * region is not known is no home.
   */
  mayUse(query: HomeQuery, failureDomain: string): boolean {
    const regions = this.regionsFor(query);
    if (!regions) return true;
    const {regionByFailureDomain} = this.options;
    const region = Object.hasOwn(regionByFailureDomain, failureDomain)
      ? regionByFailureDomain[failureDomain]
      : undefined;
    return region !== undefined && regions.includes(region);
  }

  /**
   * Regions by the present configuration, which may be newer than the one that
   * the request was admitted with; by that one if its route or key is gone.
   */
  private regionsFor({
    req,
    metadata,
    workspace,
    regions,
  }: HomeQuery): readonly string[] | undefined {
    const table = this.options.configStore.current;
    if (!table?.hasHomes && !regions) return undefined;
    const route = table?.match(req.headers.host ?? '', req.url ?? '');
    const known =
      workspace === undefined ? undefined : table?.findWorkspace(metadata.key);
    const isKnown = route && known?.name === workspace;
    return isKnown ? allowedRegions(route, known) : regions;
  }
}
