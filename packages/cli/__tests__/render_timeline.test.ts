import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {EventKind} from '@vanillamux/shared';
import {renderTimeline} from '../src/render_timeline.js';

describe('renderTimeline', () => {
  const page = renderTimeline([
    {
      at: '2026-12-03T22:48:07.000Z~00000',
      host: 'entry-1',
      failureDomain: 'fd-a',
      kind: EventKind.Refused,
      requestId: 'r1',
      detail: 'queue <full>',
    },
    {
      at: '2026-12-03T22:48:09.000Z~00000',
      host: 'control-1',
      failureDomain: 'fd-b',
      kind: EventKind.LeaderElected,
      detail: 'leader in term 2',
    },
  ]);

  it('renders a lane per host and a circle and a table row per event', () => {
    assert.equal([...page.matchAll(/<line /g)].length, 2);
    assert.equal([...page.matchAll(/<circle /g)].length, 2);
    assert.match(page, /<td>entry-1 \(fd-a\)<td>refused<td>r1/);
    assert.match(page, /2\.0 s/);
  });

  it('escapes HTML in the details of an event', () => {
    assert.match(page, /queue &lt;full>/);
    assert.doesNotMatch(page, /queue <full>/);
  });
});
