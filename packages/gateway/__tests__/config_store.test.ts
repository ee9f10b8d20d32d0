import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {succeed, type Result} from '@vanillamux/shared';
import {Dialect, type GatewayConfig} from '../src/index.js';
import {ConfigStore} from '../src/link/config_store.js';
import {createConfig} from './create_config.js';

/** Reads the version from the text; the other methods are not called. */
class VersionDialect extends Dialect {
  readonly maxHelperEntries = 0;

  readConfig(text: string): Result<GatewayConfig> {
    return succeed(createConfig({version: Number(text)}));
  }

  readRequest(): never {
    throw new Error('not used');
  }

  writeRequest(): never {
    throw new Error('not used');
  }

  writeRelayedRequest(): never {
    throw new Error('not used');
  }

  readResponse(): never {
    throw new Error('not used');
  }

  writeReservationCommand(): never {
    throw new Error('not used');
  }

  writeIdentityCall(): never {
    throw new Error('not used');
  }

  readIdentity(): never {
    throw new Error('not used');
  }

  writeResponse(): never {
    throw new Error('not used');
  }
}

function publish(store: ConfigStore, version: number): void {
  store.apply({version, digest: '', text: String(version)});
}

describe('ConfigStore', () => {
  const CASES = [
    {versions: [3, 7], inForce: 7},
    {versions: [7, 3], inForce: 7},
    {versions: [7, 7, 6], inForce: 7},
  ];
  for (const {versions, inForce} of CASES) {
    it(`has version ${inForce} after ${versions.join()}`, () => {
      const store = new ConfigStore(new VersionDialect());
      for (const version of versions) publish(store, version);
      assert.equal(store.version, inForce);
    });
  }

  it('waits for the first configuration', async () => {
    const store = new ConfigStore(new VersionDialect());
    const waiting = store.waitForFirst(10_000);
    publish(store, 1);
    assert.equal((await waiting)?.config.version, 1);
  });

  it('stops waiting after the timeout', async () => {
    const store = new ConfigStore(new VersionDialect());
    assert.equal(await store.waitForFirst(1), undefined);
  });
});
