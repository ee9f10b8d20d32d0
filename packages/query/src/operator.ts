/** Comparison operators of a condition. */
export enum Operator {
  Equal = '=',
  NotEqual = '!=',
  Less = '<',
  Greater = '>',
  /** The field contains the text. */
  Like = 'like',
}
