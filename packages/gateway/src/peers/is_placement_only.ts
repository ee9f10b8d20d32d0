import type {PlacementNotice} from './placement_notice.js';

/** Fields of a placed work item; see `placementNoticeSchema`. */
const PLACED_FIELDS = 8;

/**
 * Whether a decoded notice is valid and has no other fields than those of
 * placements and ends, which are nearly all notices. It accepts only what
 * `placementNoticeSchema` accepts without a change.
 */
export function isPlacementOnly(value: unknown): value is PlacementNotice {
  if (typeof value !== 'object' || value === null) return false;
  for (const key of Object.keys(value)) {
    if (!hasValidField(value as Record<string, unknown>, key)) return false;
  }
  // Each one present has been checked.
  return (
    'from' in value &&
    'work' in value &&
    'relay' in value &&
    'placed' in value &&
    'ended' in value
  );
}

function hasValidField(notice: Record<string, unknown>, key: string): boolean {
  const value = notice[key];
  switch (key) {
    case 'from':
    case 'work':
      return typeof value === 'string';
    case 'relay':
      return typeof value === 'boolean';
    case 'placed':
      return Array.isArray(value) && value.every(isPlacedWork);
    case 'ended':
      return Array.isArray(value) && value.every(isString);
    default:
      return false;
  }
}

function isPlacedWork(value: unknown): boolean {
  return (
    Array.isArray(value) &&
    value.length === PLACED_FIELDS &&
    value.every((field, index) =>
      index === 0 ? isString(field) : isNonNegative(field),
    )
  );
}

function isString(value: unknown): boolean {
  return typeof value === 'string';
}

function isNonNegative(value: unknown): boolean {
  return typeof value === 'number' && value >= 0;
}
