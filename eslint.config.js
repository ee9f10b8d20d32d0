import gts from 'gts';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      'target/**',
      'journal/**',
      '**/node_modules/**',
      'vmux-data/**',
    ],
  },
  ...gts,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: ['packages/*/tsconfig.json', 'platform/tsconfig.json'],
      },
    },
    rules: {
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {ignoreRestSiblings: true, varsIgnorePattern: '^_limit$'},
      ],
      'no-restricted-exports': [
        'error',
        {restrictDefaultExports: {direct: true, named: true}},
      ],
      'n/no-process-exit': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-unpublished-import': 'off',
    },
  },
  {
    files: ['**/__tests__/**/*.ts'],
    // node:test returns promises that its runner awaits itself.
    rules: {'@typescript-eslint/no-floating-promises': 'off'},
  },
  {
    files: ['**/*.mjs', '**/*.js'],
    languageOptions: {sourceType: 'module'},
    rules: {
      'n/no-process-exit': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/hashbang': 'off',
    },
  },
);
