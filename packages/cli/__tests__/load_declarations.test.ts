import assert from 'node:assert/strict';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {loadDeclarations} from '../src/index.js';

const CLASS = 'classes:\n  - name: rush\n';

describe('declarations from files', () => {
  for (const {name, text, line, field, expected} of [
    {
      name: 'an unknown key',
      text: 'classes:\n  - name: rush\n    prioritty: 1\n',
      line: 3,
      field: 'classes.0.prioritty',
      expected: /unknown/,
    },
    {
      name: 'text that is not YAML',
      text: 'classes: [\n',
      line: 2,
      field: '',
      expected: /valid YAML/,
    },
    {
      name: 'a value of the wrong type',
      text: 'classes:\n  - name: rush\n    deadlineMs: soon\n',
      line: 3,
      field: 'classes.0.deadlineMs',
      expected: /expected number, found string/,
    },
    {
      name: 'a key that is not hashed',
      text: 'workspaces:\n  - name: tartu\n    keys:\n      - secret\n',
      line: 4,
      field: 'workspaces.0.keys.0',
      expected: /sha256/,
    },
    {
      name: 'a class that is not declared',
      text: `${CLASS}routing:\n  - model: m\n    class: rush\n  - model: n\n    class: slow\n`,
      line: 7,
      field: 'routing.1.class',
      expected: /"slow" is not declared/,
    },
    {
      name: 'a name that is declared twice',
      text: `${CLASS}  - name: rush\n`,
      line: 3,
      field: 'classes.1.name',
      expected: /declared twice/,
    },
  ]) {
    it(`names file, line and field of ${name}`, async () => {
      const folder = mkdtempSync(join(tmpdir(), 'vmux-decl-'));
      const file = join(folder, 'a.yaml');
      writeFileSync(file, text);
      const loaded = await loadDeclarations(folder);
      assert.ok(!loaded.ok);
      const [issue] = loaded.error.issues;
      assert.equal(issue?.file, file);
      assert.equal(issue?.line, line);
      assert.equal(issue?.field, field);
      assert.match(issue?.expected ?? '', expected);
    });
  }

  for (const example of ['quickstart', 'poldtoetus', 'cobranzas']) {
    it(`accepts the declarations of examples/${example}`, async () => {
      const loaded = await loadDeclarations(join('examples', example));
      assert.ok(loaded.ok, loaded.ok ? '' : loaded.error.message);
      assert.ok(loaded.value.workspaces.length > 0);
    });
  }
});
